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
	outcomeServed   = "served"
	outcomeShed     = "refused" // 429 or 503
	outcomeFailed   = "failed"  // any other answer
	outcomeBroken   = "broken"  // the stream broke off behind its first event
	outcomeClosed   = "closed"  // the connection ended without an answer
	outcomeTimedOut = "late"    // no answer half a second behind its time
	outcomeCanceled = "left"    // the client closed its connection first
	outcomeUnsent   = "unsent"  // no connection came up
)

// soakRequest is one request as its client saw it.
type soakRequest struct {
	id        string
	gateway   int
	class     string
	timeout   time.Duration
	startedAt time.Time // its client looked for a connection
	sentAt    time.Time // its last byte was written
	endedAt   time.Time
	outcome   string
	resentAt  time.Time // when it was sent once more, since the close of a kept connection crossed it
}

// soakClients send requests to gateways as clients and a front do, and remember what became of them.
type soakClients struct {
	spec      *model.Spec
	nodes     []*node
	seed      uint64
	startedAt time.Time
	mu        sync.Mutex
	requests  []*soakRequest
	lastID    int
	ready     []bool                    // what the front knows of the gateways
	idle      []map[*soakConn]struct{}  // connections at rest, by gateway
	inFlight  map[*soakRequest]struct{} // requests under way
}

type soakConn struct {
	net.Conn
	reader *bufio.Reader
	reused bool
}

const (
	// readinessInterval is how often the front asks gateways whether they are ready.
	readinessInterval = 100 * time.Millisecond
	// answerTolerance is how long past its time an answer is waited for: half a second is the protocol's, and
	// as much is for a busy machine.
	answerTolerance = time.Second
	// streamTimeout bounds a whole answer.
	streamTimeout = 20 * time.Second
	// Of the requests, so many are left by their clients early, and are sent in pieces.
	cancelShare, slowWriteShare = 0.08, 0.06
)

func newSoakClients(spec *model.Spec, nodes []*node) *soakClients {
	s := &soakClients{spec: spec, nodes: nodes, seed: spec.Seed, startedAt: time.Now(), ready: make([]bool, len(nodes)), inFlight: map[*soakRequest]struct{}{}}
	for range nodes {
		s.idle = append(s.idle, map[*soakConn]struct{}{})
	}
	return s
}

// checkReadiness asks the gateways whether they are ready until the context ends.
func (s *soakClients) checkReadiness(ctx context.Context) {
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
				pause(ctx, readinessInterval)
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

// chooseGateway is the gateway that the front deals a client to.
func (s *soakClients) chooseGateway(rng *rand.Rand) int {
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

// runClient is one client, which sends one request after another until the context ends.
func (s *soakClients) runClient(ctx context.Context, n int, think time.Duration) {
	rng := rand.New(rand.NewPCG(s.seed, uint64(n)+1000))
	for ctx.Err() == nil {
		stream := &s.spec.Streams[rng.IntN(len(s.spec.Streams))]
		s.sendRequest(rng, stream, s.chooseGateway(rng))
		pause(ctx, time.Duration(rng.ExpFloat64()*float64(think)))
	}
}

// sendRequest sends one request and waits for its end.
func (s *soakClients) sendRequest(rng *rand.Rand, stream *model.Stream, gateway int) {
	class := s.spec.ClassOf(stream)
	t := &soakRequest{gateway: gateway, class: class.Name, timeout: time.Duration(stream.FirstTokenTimeout(class)) * time.Microsecond}
	s.mu.Lock()
	s.lastID++
	t.id = fmt.Sprintf("s%08x%08x", s.seed, s.lastID)
	s.requests = append(s.requests, t)
	s.mu.Unlock()
	text := s.requestText(rng, t, stream, class)
	leave := time.Duration(0)
	if rng.Float64() < cancelShare {
		leave = time.Duration(rng.ExpFloat64() * float64(100*time.Millisecond))
	}
	pieces := rng.Float64() < slowWriteShare
	t.startedAt = time.Now()
	c := s.takeIdleConn(gateway)
	for {
		if c == nil {
			conn, err := net.DialTimeout("tcp", s.nodes[gateway].addr, time.Second)
			if err != nil {
				t.endedAt, t.outcome = time.Now(), outcomeUnsent
				return
			}
			c = &soakConn{Conn: conn, reader: bufio.NewReader(conn)}
		}
		how, again := s.exchange(t, c, text, pieces, leave)
		if again && t.resentAt.IsZero() { // the close of a connection at rest crossed it
			c.Close()
			c, t.resentAt = nil, time.Now()
			t.startedAt = t.resentAt
			continue
		}
		t.outcome = how
		return
	}
}

// requestText is a request in the platform's form.
func (s *soakClients) requestText(rng *rand.Rand, t *soakRequest, stream *model.Stream, class *balancer.Class) string {
	const body = `{"model":"chat","stream":true}`
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: app.svc\r\nReq-Id: %s\r\nReq-Kind: %s\r\nReq-Owner: %s\r\nReq-Key: %016x\r\nReq-Deadline: %dm\r\n"+
		"Req-Extra: prompt_len=%d,max_out=%d\r\nX-Emulate-Out: %d\r\nContent-Length: %d\r\n\r\n%s", httpwire.CompletionsPath, t.id, class.Name, stream.Tenant, rng.Uint64(),
		t.timeout.Milliseconds(), int(stream.PromptTokens), stream.MaxOutputTokens, max(1, int(stream.AnswerTokens)), len(body), body)
}

// exchange sends a request on a connection and reads its answer; again says that nothing came of it on a
// connection that was kept, and that it may be sent once more.
func (s *soakClients) exchange(t *soakRequest, c *soakConn, text string, pieces bool, leave time.Duration) (how string, again bool) {
	if err := writeRequest(c, text, pieces); err != nil {
		return s.finish(t, c, outcomeClosed, false), c.reused
	}
	t.sentAt = time.Now()
	s.setInFlight(t, true)
	defer s.setInFlight(t, false)
	if leave > 0 {
		c.SetReadDeadline(t.sentAt.Add(leave))
	} else {
		c.SetReadDeadline(t.sentAt.Add(t.timeout + answerTolerance))
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return s.finishUnanswered(t, c, err, leave > 0)
	}
	if resp.StatusCode != http.StatusOK {
		io.Copy(io.Discard, resp.Body)
		how = outcomeFailed
		if resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests {
			how = outcomeShed
		}
		return s.finish(t, c, how, !resp.Close), false
	}
	if leave == 0 {
		c.SetReadDeadline(time.Now().Add(streamTimeout))
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		if leave > 0 && isTimeout(err) {
			return s.finish(t, c, outcomeCanceled, false), false
		}
		return s.finish(t, c, outcomeBroken, false), false
	}
	return s.finish(t, c, outcomeServed, !resp.Close), false
}

// finishUnanswered tells what the lack of an answer is.
func (s *soakClients) finishUnanswered(t *soakRequest, c *soakConn, err error, leaves bool) (how string, again bool) {
	switch {
	case isTimeout(err) && leaves:
		return s.finish(t, c, outcomeCanceled, false), false
	case isTimeout(err):
		return s.finish(t, c, outcomeTimedOut, false), false
	}
	return s.finish(t, c, outcomeClosed, false), c.reused
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// writeRequest writes a request, at once or in pieces.
func writeRequest(c *soakConn, text string, pieces bool) error {
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

// finish notes a request's end, and keeps or closes its connection.
func (s *soakClients) finish(t *soakRequest, c *soakConn, how string, keep bool) string {
	t.endedAt = time.Now()
	if !keep {
		c.Close()
		return how
	}
	c.reused = true
	c.SetDeadline(time.Time{})
	s.mu.Lock()
	s.idle[t.gateway][c] = struct{}{}
	s.mu.Unlock()
	return how
}

// setInFlight notes which requests are under way.
func (s *soakClients) setInFlight(t *soakRequest, way bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if way {
		s.inFlight[t] = struct{}{}
	} else {
		delete(s.inFlight, t)
	}
}

// takeIdleConn is a connection at rest, nil if there is none that is open.
func (s *soakClients) takeIdleConn(gateway int) *soakConn {
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

// remainingAt lists what a gateway that was drained 4 s ago should not hold: connections at rest, and
// requests that came in the last 2 s, but for those that have come just now and are being refused.
func (s *soakClients) remainingAt(gateway int, from time.Time) (out []string) {
	justNow := time.Now().Add(-auditTolerance)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.idle[gateway] {
		if !connpool.PeerClosed(c.Conn) {
			out = append(out, "a connection at rest from "+c.LocalAddr().String())
		}
	}
	for t := range s.inFlight {
		if t.gateway == gateway && t.sentAt.After(from) && t.sentAt.Before(justNow) {
			out = append(out, "request "+t.id)
		}
	}
	return out
}

// openIdleConns opens connections that send nothing, until the context ends.
func (s *soakClients) openIdleConns(ctx context.Context, gateway, n int) {
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

// outcomeCounts tells how the requests ended.
func (s *soakClients) outcomeCounts() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := map[string]int{}
	for _, t := range s.requests {
		n[t.outcome]++
	}
	var out []string
	for _, how := range sortedKeys(n) {
		out = append(out, fmt.Sprintf("%s=%d", how, n[how]))
	}
	return strings.Join(out, " ")
}
