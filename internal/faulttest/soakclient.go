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

// The outcomes of a soak's request for its client.
const (
	outcomeServed   = "served"
	outcomeShed     = "refused" // 429 or 503
	outcomeFailed   = "failed"  // any other response without success
	outcomeBroken   = "broken"  // the stream ended after its first event
	outcomeClosed   = "closed"  // the connection was closed without a response
	outcomeTimedOut = "late"    // no response within the timeout and answerTolerance
	outcomeCanceled = "left"    // the client closed its connection first
	outcomeUnsent   = "unsent"  // no connection could be opened
)

// soakRequest is a request as its client saw it.
type soakRequest struct {
	id        string
	gateway   int
	class     string
	timeout   time.Duration
	startedAt time.Time // when its client looked for a connection
	sentAt    time.Time // when its last byte was written
	endedAt   time.Time
	outcome   string
	resentAt  time.Time // when it was sent again because its reused connection was closed; zero: never

	firstStartedAt time.Time // startedAt and sentAt, of the first time that it was sent
	firstSentAt    time.Time
	reusedConn     bool  // the connection was a reused one
	err            error // of its connection; nil: none
}

// soakClients sends requests to gateways as clients behind a load balancer do, and records their outcomes.
type soakClients struct {
	spec  *model.Spec
	nodes []*node
	seed  uint64

	mu       sync.Mutex
	requests []*soakRequest
	lastID   int
	ready    []bool                   // by gateway, as the load balancer knows
	idle     []map[*soakConn]struct{} // idle connections, by gateway
	inFlight map[*soakRequest]struct{}
}

// soakConn is a client's connection.
type soakConn struct {
	net.Conn
	reader *bufio.Reader
	reused bool // a response has been read on it
}

const (
	// readinessInterval is the time between two readiness checks of a gateway.
	readinessInterval = 100 * time.Millisecond
	// answerTolerance is how long a response is waited for beyond the timeout: half a second by the protocol,
	// and as much for a busy machine.
	answerTolerance = time.Second
	// streamTimeout bounds a response with its body.
	streamTimeout = 20 * time.Second
	// The shares of requests that their clients cancel, and that are written in pieces.
	cancelShare, slowWriteShare = 0.08, 0.06
	// meanCancelTime is the mean time after which a client cancels.
	meanCancelTime = 100 * time.Millisecond
	// Requests in pieces are written pieceSize bytes at a time, with a pause of pieceInterval.
	pieceSize, pieceInterval = 60, 2 * time.Millisecond
	// writeTimeout bounds the writing of a request.
	writeTimeout = 2 * time.Second
	// clientStream is where the random numbers of clients begin among those of a seed.
	clientStream     = 1000
	persistentStream = 2000
	crowdStream      = 3000
)

func newSoakClients(spec *model.Spec, nodes []*node) *soakClients {
	s := &soakClients{spec: spec, nodes: nodes, seed: spec.Seed, ready: make([]bool, len(nodes)), inFlight: map[*soakRequest]struct{}{}}
	for range nodes {
		s.idle = append(s.idle, map[*soakConn]struct{}{})
	}
	return s
}

// checkReadiness checks whether the gateways are ready, until the context ends.
func (s *soakClients) checkReadiness(ctx context.Context) {
	var checks sync.WaitGroup
	for i, n := range s.nodes {
		checks.Go(func() {
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
	checks.Wait()
}

// pause waits for a duration, or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// chooseGateway returns the gateway that the load balancer directs a client to: a random one that is ready,
// if any is.
func (s *soakClients) chooseGateway(rng *rand.Rand) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	gateway := rng.IntN(len(s.nodes))
	for range s.nodes {
		if s.ready[gateway] {
			return gateway
		}
		gateway = (gateway + 1) % len(s.nodes)
	}
	return gateway
}

// runClient sends one request after another until the context ends.
func (s *soakClients) runClient(ctx context.Context, index int, meanThinkTime time.Duration) {
	rng := rand.New(rand.NewPCG(s.seed, uint64(index)+clientStream))
	for ctx.Err() == nil {
		stream := &s.spec.Streams[rng.IntN(len(s.spec.Streams))]
		s.sendRequest(rng, stream, s.chooseGateway(rng), s.takeIdleConn)
		pause(ctx, time.Duration(rng.ExpFloat64()*float64(meanThinkTime)))
	}
}

// connSource returns an open connection to a gateway; nil: a new one is to be opened.
type connSource func(gateway int) *soakConn

// noOpenConn is the connSource of clients that open a connection for each request.
func noOpenConn(int) *soakConn { return nil }

// sendRequest sends one request and waits for its end. It is sent again once if a reused connection was
// closed without a response.
func (s *soakClients) sendRequest(rng *rand.Rand, stream *model.Stream, gateway int, openConn connSource) (outcome string) {
	class := s.spec.ClassOf(stream)
	t := s.newRequest(stream, class, gateway)
	text := s.requestText(rng, t, stream, class)
	cancelAfter := time.Duration(0)
	if rng.Float64() < cancelShare {
		cancelAfter = time.Duration(rng.ExpFloat64() * float64(meanCancelTime))
	}
	inPieces := rng.Float64() < slowWriteShare
	t.firstStartedAt = time.Now()
	t.startedAt = t.firstStartedAt
	c := openConn(gateway)
	for {
		if c == nil {
			conn, err := net.DialTimeout("tcp", s.nodes[gateway].addr, time.Second)
			if err != nil {
				t.endedAt, t.outcome = time.Now(), outcomeUnsent
				return outcomeUnsent
			}
			c = &soakConn{Conn: conn, reader: bufio.NewReader(conn)}
		}
		outcome, mayResend := s.exchange(t, c, text, inPieces, cancelAfter)
		if !mayResend || !t.resentAt.IsZero() {
			t.outcome = outcome
			return outcome
		}
		c.Close()
		c = nil
		t.resentAt = time.Now()
		t.startedAt = t.resentAt
	}
}

// newRequest records a new request.
func (s *soakClients) newRequest(stream *model.Stream, class *balancer.Class, gateway int) *soakRequest {
	t := &soakRequest{gateway: gateway, class: class.Name, timeout: time.Duration(stream.FirstTokenTimeout(class)) * time.Microsecond}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	t.id = fmt.Sprintf("s%08x%08x", s.seed, s.lastID)
	s.requests = append(s.requests, t)
	return t
}

// requestText returns a request in the platform's form.
func (s *soakClients) requestText(rng *rand.Rand, t *soakRequest, stream *model.Stream, class *balancer.Class) string {
	const body = `{"model":"chat","stream":true}`
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: app.svc\r\nReq-Id: %s\r\nReq-Kind: %s\r\nReq-Owner: %s\r\nReq-Key: %016x\r\nReq-Deadline: %dm\r\n"+
		"Req-Extra: prompt_len=%d,max_out=%d\r\nX-Emulate-Out: %d\r\nContent-Length: %d\r\n\r\n%s", httpwire.CompletionsPath, t.id, class.Name, stream.Tenant, rng.Uint64(),
		t.timeout.Milliseconds(), int(stream.PromptTokens), stream.MaxOutputTokens, max(1, int(stream.AnswerTokens)), len(body), body)
}

// exchange sends a request on a connection and reads its response. mayResend says that a reused connection
// was closed without a response, so that the request may be sent again.
func (s *soakClients) exchange(t *soakRequest, c *soakConn, text string, inPieces bool, cancelAfter time.Duration) (outcome string, mayResend bool) {
	t.reusedConn = c.reused
	if err := writeRequest(c, text, inPieces); err != nil {
		t.err = err
		return s.finish(t, c, outcomeClosed, false), c.reused
	}
	t.sentAt = time.Now()
	if t.resentAt.IsZero() {
		t.firstSentAt = t.sentAt
	}
	s.setInFlight(t, true)
	defer s.setInFlight(t, false)
	if cancelAfter > 0 {
		_ = c.SetReadDeadline(t.sentAt.Add(cancelAfter))
	} else {
		_ = c.SetReadDeadline(t.sentAt.Add(t.timeout + answerTolerance))
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return s.finishUnanswered(t, c, err, cancelAfter > 0)
	}
	if resp.StatusCode != http.StatusOK {
		_ = readBody(resp) // only the status matters
		return s.finish(t, c, outcomeOfStatus(resp.StatusCode), !resp.Close), false
	}
	if cancelAfter == 0 {
		_ = c.SetReadDeadline(time.Now().Add(streamTimeout))
	}
	if err := readBody(resp); err != nil {
		t.err = err
		if cancelAfter > 0 && isTimeout(err) {
			return s.finish(t, c, outcomeCanceled, false), false
		}
		return s.finish(t, c, outcomeBroken, false), false
	}
	return s.finish(t, c, outcomeServed, !resp.Close), false
}

// readBody reads a response to its end.
func readBody(resp *http.Response) error {
	defer resp.Body.Close()
	_, err := io.Copy(io.Discard, resp.Body)
	return err
}

// outcomeOfStatus returns the outcome of a response without success.
func outcomeOfStatus(status int) string {
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		return outcomeShed
	}
	return outcomeFailed
}

// finishUnanswered records the outcome of a request without a response.
func (s *soakClients) finishUnanswered(t *soakRequest, c *soakConn, err error, cancels bool) (outcome string, mayResend bool) {
	t.err = err
	switch {
	case isTimeout(err) && cancels:
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
func writeRequest(c *soakConn, text string, inPieces bool) error {
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	if !inPieces {
		_, err := io.WriteString(c, text)
		return err
	}
	for part := text; part != ""; {
		n := min(len(part), pieceSize)
		if _, err := io.WriteString(c, part[:n]); err != nil {
			return err
		}
		part = part[n:]
		time.Sleep(pieceInterval)
	}
	return nil
}

// finish records the end of a request, and returns its connection to the idle ones or closes it.
func (s *soakClients) finish(t *soakRequest, c *soakConn, outcome string, reuse bool) string {
	t.endedAt = time.Now()
	if !reuse {
		c.Close()
		return outcome
	}
	c.reused = true
	_ = c.SetDeadline(time.Time{})
	s.mu.Lock()
	s.idle[t.gateway][c] = struct{}{}
	s.mu.Unlock()
	return outcome
}

// setInFlight records whether a request is in flight.
func (s *soakClients) setInFlight(t *soakRequest, inFlight bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if inFlight {
		s.inFlight[t] = struct{}{}
	} else {
		delete(s.inFlight, t)
	}
}

// takeIdleConn returns an idle connection that the gateway has not closed, nil if there is none.
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

// remainingAt lists what a gateway should not have that was drained drainCheckDelay ago: idle connections,
// and requests that were sent after from. Those of the last moment do not count: they are being rejected.
func (s *soakClients) remainingAt(gateway int, from time.Time) (out []string) {
	justNow := time.Now().Add(-auditTolerance)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.idle[gateway] {
		if !connpool.PeerClosed(c.Conn) {
			out = append(out, "an idle connection from "+c.LocalAddr().String())
		}
	}
	for t := range s.inFlight {
		if t.gateway == gateway && t.sentAt.After(from) && t.sentAt.Before(justNow) {
			out = append(out, "request "+t.id)
		}
	}
	return out
}

// openIdleConns opens connections without requests, and closes them when the context ends.
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

// outcomeCounts returns the number of requests by outcome, as text.
func (s *soakClients) outcomeCounts() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := map[string]int{}
	for _, request := range s.requests {
		counts[request.outcome]++
	}
	var parts []string
	for _, outcome := range sortedKeys(counts) {
		parts = append(parts, fmt.Sprintf("%s=%d", outcome, counts[outcome]))
	}
	return strings.Join(parts, " ")
}
