package faulttest

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"archknot/balancer"
	"archknot/internal/connpool"
	"archknot/internal/fleet/model"
	"archknot/internal/httpwire"
)

// How a request of a soak ended for its client.
const (
	endServed  = "served"
	endRefused = "refused" // 429 or 503
	endFailed  = "failed"  // any other answer
	endBroken  = "broken"  // the stream broke off behind its first event
	endClosed  = "closed"  // the connection ended without an answer
	endLate    = "late"    // no answer half a second behind its time
	endLeft    = "left"    // the client closed its connection first
	endUnsent  = "unsent"  // no connection came up
)

// soakTry is one request as its client saw it.
type soakTry struct {
	id      string
	gateway int
	class   string
	wait    time.Duration
	begunAt time.Time // its client looked for a connection
	sentAt  time.Time // its last byte was written
	endAt   time.Time
	how     string
	again   time.Time // when it was sent once more, since the close of a kept connection crossed it
}

// soakClients send requests to gateways as clients and a front do, and remember what became of them.
type soakClients struct {
	spec  *model.Spec
	nodes []*node
	seed  uint64
	began time.Time
	mu    sync.Mutex
	tries []*soakTry
	next  int
	ready []bool                   // what the front knows of the gateways
	idle  []map[*soakConn]struct{} // connections at rest, by gateway
	open  map[*soakTry]struct{}    // requests under way
}

type soakConn struct {
	net.Conn
	in   *bufio.Reader
	kept bool
}

const (
	// frontEach is how often the front asks gateways whether they are ready.
	frontEach = 100 * time.Millisecond
	// answerSlack is how long past its time an answer is waited for: half a second is the protocol's, and
	// as much is for a busy machine.
	answerSlack = time.Second
	// streamMost bounds a whole answer.
	streamMost = 20 * time.Second
	// Of the requests, so many are left by their clients early, and are sent in pieces.
	leaveShare, piecesShare = 0.08, 0.06
)

func newSoakClients(spec *model.Spec, nodes []*node) *soakClients {
	s := &soakClients{spec: spec, nodes: nodes, seed: spec.Seed, began: time.Now(), ready: make([]bool, len(nodes)), open: map[*soakTry]struct{}{}}
	for range nodes {
		s.idle = append(s.idle, map[*soakConn]struct{}{})
	}
	return s
}

// front asks the gateways whether they are ready until the context ends.
func (s *soakClients) front(ctx context.Context) {
	var all sync.WaitGroup
	for i, n := range s.nodes {
		all.Go(func() {
			client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
			for ctx.Err() == nil {
				resp, err := client.Get("http://" + n.addr + httpwire.ReadyPath)
				ready := err == nil && resp.StatusCode == http.StatusOK
				if err == nil {
					resp.Body.Close()
				}
				s.mu.Lock()
				s.ready[i] = ready
				s.mu.Unlock()
				pause(ctx, frontEach)
			}
		})
	}
	all.Wait()
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// choose is the gateway that the front deals a client to.
func (s *soakClients) choose(rng *rand.Rand) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := rng.IntN(len(s.nodes))
	for range s.nodes {
		if s.ready[at] {
			return at
		}
		at = (at + 1) % len(s.nodes)
	}
	return at
}

// client is one client, which sends one request after another until the context ends.
func (s *soakClients) client(ctx context.Context, n int, think time.Duration) {
	rng := rand.New(rand.NewPCG(s.seed, uint64(n)+1000))
	for ctx.Err() == nil {
		stream := &s.spec.Streams[rng.IntN(len(s.spec.Streams))]
		s.request(rng, stream, s.choose(rng))
		pause(ctx, time.Duration(rng.ExpFloat64()*float64(think)))
	}
}

// request sends one request and waits for its end.
func (s *soakClients) request(rng *rand.Rand, stream *model.Stream, gateway int) {
	class := s.spec.ClassOf(stream)
	t := &soakTry{gateway: gateway, class: class.Name, wait: time.Duration(stream.FirstTokenTimeout(class)) * time.Microsecond}
	s.mu.Lock()
	s.next++
	t.id = fmt.Sprintf("s%08x%08x", s.seed, s.next)
	s.tries = append(s.tries, t)
	s.mu.Unlock()
	text := s.text(rng, t, stream, class)
	leave := time.Duration(0)
	if rng.Float64() < leaveShare {
		leave = time.Duration(rng.ExpFloat64() * float64(100*time.Millisecond))
	}
	pieces := rng.Float64() < piecesShare
	t.begunAt = time.Now()
	c := s.take(gateway)
	for {
		if c == nil {
			conn, err := net.DialTimeout("tcp", s.nodes[gateway].addr, time.Second)
			if err != nil {
				t.endAt, t.how = time.Now(), endUnsent
				return
			}
			c = &soakConn{Conn: conn, in: bufio.NewReader(conn)}
		}
		how, again := s.exchange(t, c, text, pieces, leave)
		if again && t.again.IsZero() { // the close of a connection at rest crossed it
			c.Close()
			c, t.again = nil, time.Now()
			t.begunAt = t.again
			continue
		}
		t.how = how
		return
	}
}

// text is a request in the platform's form.
func (s *soakClients) text(rng *rand.Rand, t *soakTry, stream *model.Stream, class *balancer.Class) string {
	const body = `{"model":"chat","stream":true}`
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: app.svc\r\nReq-Id: %s\r\nReq-Kind: %s\r\nReq-Owner: %s\r\nReq-Key: %016x\r\nReq-Deadline: %dm\r\n"+
		"Req-Extra: prompt_len=%d,max_out=%d\r\nX-Emulate-Out: %d\r\nContent-Length: %d\r\n\r\n%s", httpwire.CompletionsPath, t.id, class.Name, stream.Tenant, rng.Uint64(),
		t.wait.Milliseconds(), int(stream.PromptTokens), stream.MaxOutputTokens, max(1, int(stream.AnswerTokens)), len(body), body)
}

// exchange sends a request on a connection and reads its answer; again says that nothing came of it on a
// connection that was kept, and that it may be sent once more.
func (s *soakClients) exchange(t *soakTry, c *soakConn, text string, pieces bool, leave time.Duration) (how string, again bool) {
	if err := writeText(c, text, pieces); err != nil {
		return s.done(t, c, endClosed, false), c.kept
	}
	t.sentAt = time.Now()
	s.under(t, true)
	defer s.under(t, false)
	if leave > 0 {
		c.SetReadDeadline(t.sentAt.Add(leave))
	} else {
		c.SetReadDeadline(t.sentAt.Add(t.wait + answerSlack))
	}
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return s.unanswered(t, c, err, leave > 0)
	}
	if resp.StatusCode != http.StatusOK {
		io.Copy(io.Discard, resp.Body)
		how = endFailed
		if resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests {
			how = endRefused
		}
		return s.done(t, c, how, !resp.Close), false
	}
	if leave == 0 {
		c.SetReadDeadline(time.Now().Add(streamMost))
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		if leave > 0 && isTimeout(err) {
			return s.done(t, c, endLeft, false), false
		}
		return s.done(t, c, endBroken, false), false
	}
	return s.done(t, c, endServed, !resp.Close), false
}

// unanswered tells what the lack of an answer is.
func (s *soakClients) unanswered(t *soakTry, c *soakConn, err error, leaves bool) (how string, again bool) {
	switch {
	case isTimeout(err) && leaves:
		return s.done(t, c, endLeft, false), false
	case isTimeout(err):
		return s.done(t, c, endLate, false), false
	}
	return s.done(t, c, endClosed, false), c.kept
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// writeText writes a request, at once or in pieces.
func writeText(c *soakConn, text string, pieces bool) error {
	c.SetWriteDeadline(time.Now().Add(2 * time.Second))
	if !pieces {
		_, err := io.WriteString(c, text)
		return err
	}
	for part := text; part != ""; {
		n := min(len(part), 60)
		if _, err := io.WriteString(c, part[:n]); err != nil {
			return err
		}
		part = part[n:]
		time.Sleep(2 * time.Millisecond)
	}
	return nil
}

// done notes a request's end, and keeps or closes its connection.
func (s *soakClients) done(t *soakTry, c *soakConn, how string, keep bool) string {
	t.endAt = time.Now()
	if !keep {
		c.Close()
		return how
	}
	c.kept = true
	c.SetDeadline(time.Time{})
	s.mu.Lock()
	s.idle[t.gateway][c] = struct{}{}
	s.mu.Unlock()
	return how
}

// under notes which requests are under way.
func (s *soakClients) under(t *soakTry, way bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if way {
		s.open[t] = struct{}{}
	} else {
		delete(s.open, t)
	}
}

// take is a connection at rest, nil if there is none that is open.
func (s *soakClients) take(gateway int) *soakConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.idle[gateway] {
		delete(s.idle[gateway], c)
		if !connpool.PeerClosed(c.Conn) {
			return c
		}
		c.Close()
	}
	return nil
}

// stillHeld lists what a gateway that was drained 4 s ago should not hold: connections at rest, and
// requests that came in the last 2 s, but for those that have come just now and are being refused.
func (s *soakClients) stillHeld(gateway int, from time.Time) (out []string) {
	justNow := time.Now().Add(-auditSlack)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.idle[gateway] {
		if !connpool.PeerClosed(c.Conn) {
			out = append(out, "a connection at rest from "+c.LocalAddr().String())
		}
	}
	for t := range s.open {
		if t.gateway == gateway && t.sentAt.After(from) && t.sentAt.Before(justNow) {
			out = append(out, "request "+t.id)
		}
	}
	return out
}

// crowd opens connections that send nothing, until the context ends.
func (s *soakClients) crowd(ctx context.Context, gateway, n int) {
	var open []net.Conn
	for range n {
		if c, err := net.DialTimeout("tcp", s.nodes[gateway].addr, time.Second); err == nil {
			open = append(open, c)
		} else if !errors.Is(err, syscall.ECONNREFUSED) {
			break
		}
	}
	<-ctx.Done()
	for _, c := range open {
		c.Close()
	}
}

// counts tells how the requests ended.
func (s *soakClients) counts() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := map[string]int{}
	for _, t := range s.tries {
		n[t.how]++
	}
	var out []string
	for _, how := range sortedKeys(n) {
		out = append(out, fmt.Sprintf("%s=%d", how, n[how]))
	}
	return strings.Join(out, " ")
}
