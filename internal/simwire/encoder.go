package simwire

import (
	"encoding/base64"
	"io"
	"strconv"

	"archknot/balancer"
)

// Encoder buffers the reply to a batch. It must not be used by several goroutines at once.
type Encoder struct {
	out          io.Writer
	buf          []byte
	gateway      int
	gatewayNamed bool // this reply has a FOR line, and the last one names gateway
}

// NewEncoder returns an Encoder that writes to w.
func NewEncoder(w io.Writer) *Encoder { return &Encoder{out: w} }

// Flush completes the reply with DONE, writes it in one call and begins the next reply.
func (e *Encoder) Flush() error {
	e.buf = append(e.buf, "DONE\n"...)
	_, err := e.out.Write(e.buf)
	e.buf, e.gatewayNamed = e.buf[:0], false
	return err
}

// Sink returns a sink that adds the actions of one gateway to the reply, in the order of the calls.
func (e *Encoder) Sink(gateway int) balancer.Sink { return &sink{encoder: e, gateway: gateway} }

// sink is the balancer.Sink of one gateway: each action is a line of the encoder's reply.
type sink struct {
	encoder *Encoder
	gateway int
}

// writeLine adds an action. It adds a FOR line first if the previous action was that of another gateway.
func (s *sink) writeLine(name string, values ...int64) {
	e := s.encoder
	if !e.gatewayNamed || e.gateway != s.gateway {
		e.gatewayNamed, e.gateway = true, s.gateway
		e.buf = append(e.buf, "FOR\t"...)
		e.buf = strconv.AppendInt(e.buf, int64(s.gateway), 10)
		e.buf = append(e.buf, '\n')
	}
	e.buf = append(e.buf, name...)
	for _, v := range values {
		e.buf = append(e.buf, '\t')
		e.buf = strconv.AppendInt(e.buf, v, 10)
	}
	e.buf = append(e.buf, '\n')
}

// Dispatch writes a SUBMIT_TO line.
func (s *sink) Dispatch(id balancer.RequestID, to balancer.ReplicaID, timeoutAt balancer.Micros) {
	s.writeLine("SUBMIT_TO", int64(id), int64(to), timeoutAt)
}

// Shed writes a BUSY line.
func (s *sink) Shed(id balancer.RequestID, retryAfter balancer.Micros) {
	s.writeLine("BUSY", int64(id), retryAfter)
}

// Fail writes a FAIL line.
func (s *sink) Fail(id balancer.RequestID) {
	s.writeLine("FAIL", int64(id))
}

// Cancel writes a DROP_ATTEMPT line.
func (s *sink) Cancel(id balancer.RequestID, attempt int) {
	s.writeLine("DROP_ATTEMPT", int64(id), int64(attempt))
}

// HealthCheck writes a HEALTH_CHECK line.
func (s *sink) HealthCheck(to balancer.ReplicaID) {
	s.writeLine("HEALTH_CHECK", int64(to))
}

// WatchDiscovery writes a TRACK line.
func (s *sink) WatchDiscovery() {
	s.writeLine("TRACK", 1)
}

// SetTimer writes a SET_ALARM line.
func (s *sink) SetTimer(delay balancer.Micros, token uint64) {
	s.writeLine("SET_ALARM", delay, int64(token))
}

// Gossip writes a POST line to all peers (-1) with the body in base64.
func (s *sink) Gossip(body []byte) {
	s.writeLine("POST", -1)
	e := s.encoder
	e.buf = append(e.buf[:len(e.buf)-1], '\t') // replaces the line end
	e.buf = base64.StdEncoding.AppendEncode(e.buf, body)
	e.buf = append(e.buf, '\n')
}
