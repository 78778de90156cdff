package peers

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"archknot/internal/takeover"
)

// Held is a request that this gateway holds, under its first try's id.
type Held struct {
	s     *Service
	id    string
	stop  func() // ends its attempts and its client's connection; may be called twice
	Lost  atomic.Bool
	seen  atomic.Int64 // freezes after which it was still this gateway's
	ask   sync.Mutex   // one question at a time
	reply chan takeover.Output
}

// Grant is a request that was given to this gateway to go on with.
type Grant struct {
	Made int           // attempts counted as made
	Left time.Duration // of the first try's wait
}

// Refusal says why a request cannot be gone on with.
type Refusal struct{ Reason takeover.Reason }

func (r Refusal) Error() string { return r.Reason.String() }

// answer hands a waiting task its answer. The lock is held.
func (h *Held) answer(o takeover.Output) {
	select {
	case h.reply <- o:
	default: // nobody waits any more
	}
}

func (s *Service) enter(id string, stop func()) *Held {
	h := &Held{s: s, id: id, stop: stop, reply: make(chan takeover.Output, 1)}
	h.seen.Store(s.freezes.Load())
	s.held[id] = h
	return h
}

// Hold takes a request into this gateway's hands and has its keepers told. Nothing is
// waited for. It ends with Done.
func (s *Service) Hold(id string, terms takeover.Terms, left time.Duration, stop func()) *Held {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.held[id] != nil {
		return nil
	}
	now := s.now()
	s.deaths(now)
	h := s.enter(id, stop)
	s.node.Hold(now, id, terms, left.Microseconds(), s.keepers(id, s.o.Copies))
	if len(s.members) == 0 {
		s.alone[id] = true
	}
	s.act(now)
	return h
}

func (s *Service) keepers(id string, most int) []takeover.Member {
	return takeover.Keepers(id, s.self, func(m takeover.Member) string { return s.sites[m.Name] }, s.members, most)
}

// Claim asks the others for a request that a client wants the rest of. An error is a
// Refusal, or the context's.
func (s *Service) Claim(ctx context.Context, id string, ask uint32, stop func()) (*Held, Grant, error) {
	c := &claim{answer: make(chan takeover.Output, 1), stop: stop}
	s.mu.Lock()
	now := s.now()
	if s.claims[id] != nil {
		s.mu.Unlock()
		return nil, Grant{}, Refusal{takeover.Taken}
	}
	s.deaths(now)
	s.claims[id] = c
	// Some ranks more than there are keepers: the holder may have known others, and
	// this gateway itself may be one.
	s.node.Claim(now, id, ask, append(s.keepers(id, s.o.Copies+3), s.self))
	s.act(now)
	s.mu.Unlock()
	select {
	case o := <-c.answer:
		if !o.OK {
			return nil, Grant{}, Refusal{o.Reason}
		}
		return c.held, Grant{Made: o.Made, Left: time.Duration(o.Left) * time.Microsecond}, nil
	case <-ctx.Done():
	}
	s.mu.Lock()
	if s.claims[id] == c {
		delete(s.claims, id)
		s.node.Abandon(id)
	}
	s.mu.Unlock()
	if c.held != nil { // granted in this very moment
		c.held.Done(false)
	}
	return nil, Grant{}, ctx.Err()
}

// question puts one to the keepers and waits for the answer.
func (h *Held) question(ctx context.Context, put func(now int64)) bool {
	h.ask.Lock()
	defer h.ask.Unlock()
	h.s.mu.Lock()
	select {
	case <-h.reply: // of a question that was given up
	default:
	}
	now := h.s.now()
	put(now)
	h.s.act(now)
	h.s.mu.Unlock()
	select {
	case o := <-h.reply:
		return o.OK
	case <-ctx.Done():
		return false
	}
}

// Permit asks for a further attempt: false is no.
func (h *Held) Permit(ctx context.Context) bool {
	return !h.Lost.Load() && h.question(ctx, func(now int64) { h.s.node.Want(now, h.id) })
}

// Mine tells whether the request is still this gateway's: asked before anything of it is
// sent or passed on. It costs a look at the clock, but after a freeze of the process an
// exchange with the keepers.
func (h *Held) Mine(ctx context.Context) bool {
	if h.Lost.Load() {
		return false
	}
	s := h.s
	if s.now()-s.beat.Load() >= s.o.Frozen.Microseconds() {
		s.alive()
	}
	n := s.freezes.Load()
	if h.seen.Load() == n {
		return true
	}
	if !h.question(ctx, func(now int64) { s.node.Check(now, h.id) }) {
		return false
	}
	h.seen.Store(n)
	return true
}

// Done ends the hold: nothing of it runs here any more. ran tells whether an attempt may
// have run.
func (h *Held) Done(ran bool) {
	s := h.s
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.held[h.id] == h {
		delete(s.held, h.id)
		delete(s.alone, h.id)
	} else {
		return // a later hold of the same request has the name
	}
	now := s.now()
	if h.Lost.Load() {
		s.node.Stopped(now, h.id, ran)
	} else {
		s.node.Let(now, h.id, ran)
	}
	s.act(now)
}
