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

// The outcomes of a soak's request, as its client records them.
const (
	outcomeServed   = "served"
	outcomeShed     = "refused" // 429 or 503
	outcomeFailed   = "failed"  // any other status than 200
	outcomeBroken   = "broken"  // the response's body could not be read to its end
	outcomeClosed   = "closed"  // the connection was closed without a response
	outcomeTimedOut = "late"    // no response within the timeout and responseTolerance
	outcomeCanceled = "left"    // the client closed its connection first
	outcomeUnsent   = "unsent"  // no connection could be opened
)

// soakRequest is a client's record of a request.
type soakRequest struct {
	id        string
	gateway   int
	class     string
	timeout   time.Duration
	startedAt time.Time // when the client began to get a connection
	sentAt    time.Time // when its last byte was written
	endedAt   time.Time
	outcome   string
	resentAt  time.Time // when it was resent because its reused connection was closed; zero: never

	firstStartedAt time.Time // startedAt of the first sending
	firstSentAt    time.Time // sentAt of the first sending
	reusedConn     bool      // the last connection had carried an earlier request
	err            error     // error of the last connection; nil: none
}

// soakClients sends requests to gateways like clients behind a load balancer, and records their outcomes.
type soakClients struct {
	spec  *model.Spec
	nodes []*node
	seed  uint64

	mu       sync.Mutex
	requests []*soakRequest
	lastID   int
	ready    []bool                   // by gateway: result of the load balancer's last readiness check
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
	// responseTolerance is the time that a client waits for a response beyond the timeout: half a second that the
	// protocol allows, and as much for a busy machine.
	responseTolerance = time.Second
	// streamTimeout bounds the reading of a response's body.
	streamTimeout = 20 * time.Second
	// cancelFraction is the fraction of requests that clients cancel.
	cancelFraction = 0.08
	// slowWriteFraction is the fraction of requests that clients write in pieces.
	slowWriteFraction = 0.06
	// meanCancelTime is the mean time after which a client cancels.
	meanCancelTime = 100 * time.Millisecond
	// pieceSize is the number of bytes per write of a request that is written in pieces.
	pieceSize = 60
	// pieceInterval is the pause after each piece.
	pieceInterval = 2 * time.Millisecond
	// writeTimeout bounds the writing of a request.
	writeTimeout = 2 * time.Second
	// clientStream is the random number stream of the first client of runClient.
	clientStream = 1000
	// persistentStream is the random number stream of the first client of runPersistentClient.
	persistentStream = 2000
	// newConnStream is the random number stream of the first client of runNewConnClient.
	newConnStream = 3000
)

func newSoakClients(spec *model.Spec, nodes []*node) *soakClients {
	s := &soakClients{spec: spec, nodes: nodes, seed: spec.Seed, ready: make([]bool, len(nodes)), inFlight: map[*soakRequest]struct{}{}}
	for range nodes {
		s.idle = append(s.idle, map[*soakConn]struct{}{})
	}
	return s
}

// checkReadiness checks at intervals whether the gateways are ready, until the context ends.
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

// chooseGateway returns the gateway to which the load balancer directs a client: a random one that is ready, or
// any if none is ready.
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

// runClient sends one request after another to gateways that the load balancer chooses, until the context ends.
func (s *soakClients) runClient(ctx context.Context, index int, meanThinkTime time.Duration) {
	rng := rand.New(rand.NewPCG(s.seed, uint64(index)+clientStream))
	for ctx.Err() == nil {
		stream := &s.spec.Streams[rng.IntN(len(s.spec.Streams))]
		s.sendRequest(rng, stream, s.chooseGateway(rng), s.takeIdleConn)
		pause(ctx, time.Duration(rng.ExpFloat64()*float64(meanThinkTime)))
	}
}

// connSource returns an open connection to a gateway, or nil if the client has to open a new one.
type connSource func(gateway int) *soakConn

// noOpenConn is the connSource of clients that open a connection for each request.
func noOpenConn(int) *soakConn { return nil }

// sendRequest sends a request and waits for its end. It resends the request once if a reused connection was
// closed without a response.
func (s *soakClients) sendRequest(rng *rand.Rand, stream *model.Stream, gateway int, openConn connSource) (outcome string) {
	class := s.spec.ClassOf(stream)
	request := s.newRequest(stream, class, gateway)
	text := s.requestText(rng, request, stream, class)
	cancelAfter := time.Duration(0)
	if rng.Float64() < cancelFraction {
		cancelAfter = time.Duration(rng.ExpFloat64() * float64(meanCancelTime))
	}
	slowWrite := rng.Float64() < slowWriteFraction
	request.firstStartedAt = time.Now()
	request.startedAt = request.firstStartedAt
	conn := openConn(gateway)
	for {
		if conn == nil {
			dialed, err := net.DialTimeout("tcp", s.nodes[gateway].addr, time.Second)
			if err != nil {
				request.endedAt, request.outcome = time.Now(), outcomeUnsent
				return outcomeUnsent
			}
			conn = &soakConn{Conn: dialed, reader: bufio.NewReader(dialed)}
		}
		outcome, mayResend := s.exchange(request, conn, text, slowWrite, cancelAfter)
		if !mayResend || !request.resentAt.IsZero() {
			request.outcome = outcome
			return outcome
		}
		conn.Close()
		conn = nil
		request.resentAt = time.Now()
		request.startedAt = request.resentAt
	}
}

// newRequest creates and records a request with a new id.
func (s *soakClients) newRequest(stream *model.Stream, class *balancer.Class, gateway int) *soakRequest {
	request := &soakRequest{gateway: gateway, class: class.Name, timeout: time.Duration(stream.FirstTokenTimeout(class)) * time.Microsecond}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	request.id = fmt.Sprintf("s%08x%08x", s.seed, s.lastID)
	s.requests = append(s.requests, request)
	return request
}

// requestText returns the HTTP text of a request with the platform's headers.
func (s *soakClients) requestText(rng *rand.Rand, request *soakRequest, stream *model.Stream, class *balancer.Class) string {
	const body = `{"model":"chat","stream":true}`
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: app.svc\r\nReq-Id: %s\r\nReq-Kind: %s\r\nReq-Owner: %s\r\nReq-Key: %016x\r\nReq-Deadline: %dm\r\n"+
		"Req-Extra: prompt_len=%d,max_out=%d\r\nX-Emulate-Out: %d\r\nContent-Length: %d\r\n\r\n%s", httpwire.CompletionsPath, request.id, class.Name, stream.Tenant, rng.Uint64(),
		request.timeout.Milliseconds(), int(stream.PromptTokens), stream.MaxOutputTokens, max(1, int(stream.AnswerTokens)), len(body), body)
}

// exchange sends a request on a connection and reads its response. mayResend is true if a reused connection was
// closed without a response.
func (s *soakClients) exchange(request *soakRequest, conn *soakConn, text string, slowWrite bool, cancelAfter time.Duration) (outcome string, mayResend bool) {
	request.reusedConn = conn.reused
	if err := writeRequest(conn, text, slowWrite); err != nil {
		request.err = err
		return s.finish(request, conn, outcomeClosed, false), conn.reused
	}
	request.sentAt = time.Now()
	if request.resentAt.IsZero() {
		request.firstSentAt = request.sentAt
	}
	s.setInFlight(request, true)
	defer s.setInFlight(request, false)
	if cancelAfter > 0 {
		_ = conn.SetReadDeadline(request.sentAt.Add(cancelAfter))
	} else {
		_ = conn.SetReadDeadline(request.sentAt.Add(request.timeout + responseTolerance))
	}
	resp, err := http.ReadResponse(conn.reader, nil)
	if err != nil {
		return s.finishUnanswered(request, conn, err, cancelAfter > 0)
	}
	if resp.StatusCode != http.StatusOK {
		_ = readBody(resp) // only the status matters
		return s.finish(request, conn, outcomeOfStatus(resp.StatusCode), !resp.Close), false
	}
	if cancelAfter == 0 {
		_ = conn.SetReadDeadline(time.Now().Add(streamTimeout))
	}
	if err := readBody(resp); err != nil {
		request.err = err
		if cancelAfter > 0 && isTimeout(err) {
			return s.finish(request, conn, outcomeCanceled, false), false
		}
		return s.finish(request, conn, outcomeBroken, false), false
	}
	return s.finish(request, conn, outcomeServed, !resp.Close), false
}

// readBody reads and discards a response's body, and closes it.
func readBody(resp *http.Response) error {
	defer resp.Body.Close()
	_, err := io.Copy(io.Discard, resp.Body)
	return err
}

// outcomeOfStatus returns the outcome of a response whose status is not 200.
func outcomeOfStatus(status int) string {
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		return outcomeShed
	}
	return outcomeFailed
}

// finishUnanswered records the outcome of a request without a response.
func (s *soakClients) finishUnanswered(request *soakRequest, conn *soakConn, err error, cancels bool) (outcome string, mayResend bool) {
	request.err = err
	switch {
	case isTimeout(err) && cancels:
		return s.finish(request, conn, outcomeCanceled, false), false
	case isTimeout(err):
		return s.finish(request, conn, outcomeTimedOut, false), false
	}
	return s.finish(request, conn, outcomeClosed, false), conn.reused
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// writeRequest writes a request with one call, or in pieces if slowWrite is set.
func writeRequest(conn *soakConn, text string, slowWrite bool) error {
	_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if !slowWrite {
		_, err := io.WriteString(conn, text)
		return err
	}
	for part := text; part != ""; {
		n := min(len(part), pieceSize)
		if _, err := io.WriteString(conn, part[:n]); err != nil {
			return err
		}
		part = part[n:]
		time.Sleep(pieceInterval)
	}
	return nil
}

// finish records the end of a request, and keeps its connection as an idle one or closes it. It returns the
// outcome.
func (s *soakClients) finish(request *soakRequest, conn *soakConn, outcome string, reuse bool) string {
	request.endedAt = time.Now()
	if !reuse {
		conn.Close()
		return outcome
	}
	conn.reused = true
	_ = conn.SetDeadline(time.Time{})
	s.mu.Lock()
	s.idle[request.gateway][conn] = struct{}{}
	s.mu.Unlock()
	return outcome
}

// setInFlight adds a request to those in flight, or removes it.
func (s *soakClients) setInFlight(request *soakRequest, inFlight bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if inFlight {
		s.inFlight[request] = struct{}{}
	} else {
		delete(s.inFlight, request)
	}
}

// takeIdleConn removes and returns an idle connection that the gateway has not closed, or nil if there is none.
func (s *soakClients) takeIdleConn(gateway int) *soakConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.idle[gateway] {
		delete(s.idle[gateway], conn)
		if !connpool.PeerClosed(conn.Conn) {
			return conn
		}
		conn.Close()
	}
	return nil
}

// remainingAt describes the idle connections, and the requests sent after a time, that a drained gateway still
// has. Requests of the last auditTolerance do not count, since the gateway may be about to reject them.
func (s *soakClients) remainingAt(gateway int, from time.Time) (out []string) {
	justNow := time.Now().Add(-auditTolerance)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.idle[gateway] {
		if !connpool.PeerClosed(c.Conn) {
			out = append(out, "an idle connection from "+c.LocalAddr().String())
		}
	}
	for request := range s.inFlight {
		if request.gateway == gateway && request.sentAt.After(from) && request.sentAt.Before(justNow) {
			out = append(out, "request "+request.id)
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

// outcomeCounts returns the number of requests by outcome, as text such as "broken=1 served=20".
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
