// Package worker is a model of one worker that runs a language model by continuous
// batching. It is a state machine on a clock that it is told: the simulation drives
// it in virtual time, the emulator in real time.
//
// What is modelled follows what is published of such servers: sequences join and
// leave the running batch between two steps (Yu et al., "Orca", OSDI 2022); memory
// for keys and values is handed out in blocks, shared between prompts that begin
// alike, and kept until it is needed (Kwon et al., "PagedAttention", SOSP 2023);
// prompts are read in chunks beside the tokens of running answers (Agrawal et al.,
// "Sarathi-Serve", OSDI 2024).
package replica

import (
	"fmt"

	"archknot/balancer"
)

// Params are what a kind of worker is like.
type Params struct {
	Slots  int // sequences that run at once
	Queue  int // that may wait; beyond them it declines
	Memory int // tokens of keys and values
	Block  int // tokens in a block
	Chunk  int // prompt tokens read in one step, at most

	// A step takes Base, and PerSequence for each that makes a token, PerContext
	// for each 1,000 tokens that those attend to, and PerPrompt for each 1,000
	// tokens read; microseconds.
	Base, PerSequence, PerContext, PerPrompt float64

	Start    balancer.Micros // from its start until it takes work
	ColdFor  balancer.Micros // from then on it is slower: caches and kernels are cold
	ColdSlow float64         // so many times at first, less and less
	Connect  balancer.Micros // to set a connection up
}

// Check tells what is wrong with them.
func (p *Params) Check() error {
	switch {
	case p.Slots < 1 || p.Queue < 0 || p.Slots > 1<<16 || p.Queue > 1<<20:
		return fmt.Errorf("slots %d, queue %d: expected 1 or more, and 0 or more", p.Slots, p.Queue)
	case p.Block < 1 || p.Memory < p.Block || p.Memory > 1<<30:
		return fmt.Errorf("memory %d, block %d: expected a block or more", p.Memory, p.Block)
	case p.Chunk < 1:
		return fmt.Errorf("chunk %d: expected 1 or more", p.Chunk)
	case !(p.Base >= 0 && p.PerSequence >= 0 && p.PerContext >= 0 && p.PerPrompt >= 0 && p.Base+p.PerSequence > 0):
		return fmt.Errorf("step times: expected 0 or more, and some time")
	case p.Start < 0 || p.ColdFor < 0 || p.Connect < 0 || p.ColdFor > 0 && !(p.ColdSlow >= 1):
		return fmt.Errorf("start, cold and connection: expected 0 or more, and a factor of 1 or more")
	}
	return nil
}

// Job is one request, as the worker sees it.
type Job struct {
	ID      uint64
	Prompt  int    // tokens
	Out     int    // tokens that it will make; the worker does not know it before
	Prefix  uint64 // beginnings of one key are alike for PrefixLen tokens
	Shared  int    // PrefixLen
	Session uint64 // prompts of one session begin alike, answers included; 0: of none
}

// Kind says what happened to a job.
type Kind uint8

const (
	First Kind = iota // its first token was made
	Done              // its last
	Token             // each, where the worker is told to tell
)

// Event is one thing that happened at the end of a step.
type Event struct {
	Job  uint64
	Kind Kind
	Kept int // tokens of the prompt that were not read anew; at First
	Made int // tokens made so far
}

// sequence is a job in the queue or in the batch.
type sequence struct {
	job    Job
	read   int // tokens of its context that are in memory
	made   int
	kept   int
	blocks []*block
	queued balancer.Micros
	first  bool // its first token was told
}

// todo is how many tokens must be read before the next can be made.
func (s *sequence) todo() int { return s.job.Prompt + s.made - s.read }

// block is one of the memory's, linked into the list of those that nobody uses.
type block struct {
	key        uint64 // 0: nobody else can use it
	refs       int
	prev, next *block
}

// Worker is one. It is not safe for use by several tasks at once.
type Worker struct {
	p       Params
	Each    bool    // tell each token
	slow    float64 // by faults; 1: as it should be
	waiting []*sequence
	running []*sequence
	byKey   map[uint64]*block
	idle    block // ring of blocks that are kept and not used, the oldest first
	used    int   // blocks in use or kept
	kept    int   // of them, kept only
	total   int
	ends    balancer.Micros // of the step that runs; 0: none
	chunk   []int           // tokens read in it, by place in running
	warmAt  balancer.Micros // when it began to take work
	events  []Event

	// Figures since the start.
	Steps, Made, Read, Reused, Preempted, Declined int64
	Busy                                           balancer.Micros
}

// New is a worker that begins to take work at a moment.
func New(p Params, takesWork balancer.Micros) *Worker {
	w := &Worker{p: p, slow: 1, byKey: map[uint64]*block{}, total: p.Memory / p.Block, warmAt: takesWork}
	w.idle.prev, w.idle.next = &w.idle, &w.idle
	return w
}

// Slow has steps that begin from now on take so many times as long; 1: as they should.
func (w *Worker) Slow(factor float64) { w.slow = factor }

// Load is what it would report: sequences running and waiting, memory in use by
// them as a share, and prompt tokens that are yet to be read.
func (w *Worker) Load() (running, waiting int, memory float64, unread int) {
	for _, s := range w.running {
		unread += s.todo()
	}
	for _, s := range w.waiting {
		unread += s.todo()
	}
	return len(w.running), len(w.waiting), float64(w.used-w.kept) / float64(w.total), unread
}

// Offer gives it a job; false says that it declines it: its queue is full, or its
// memory could never hold it.
func (w *Worker) Offer(now balancer.Micros, j Job) bool {
	if len(w.waiting) >= w.p.Queue && (len(w.running)+len(w.waiting) >= w.p.Slots+w.p.Queue || len(w.running) >= w.p.Slots) ||
		w.blocksOf(j.Prompt+j.Out) > w.total {
		w.Declined++
		return false
	}
	w.waiting = append(w.waiting, &sequence{job: j, queued: now})
	if w.ends == 0 {
		w.begin(now)
	}
	return true
}

func (w *Worker) blocksOf(tokens int) int { return (tokens + w.p.Block - 1) / w.p.Block }

// Cancel takes a job out: its client has gone.
func (w *Worker) Cancel(id uint64) {
	for i, s := range w.waiting {
		if s.job.ID == id {
			w.release(s)
			w.waiting = append(w.waiting[:i], w.waiting[i+1:]...)
			return
		}
	}
	for i, s := range w.running {
		if s.job.ID == id {
			w.release(s)
			w.running = append(w.running[:i], w.running[i+1:]...)
			if w.ends != 0 {
				w.chunk = append(w.chunk[:i], w.chunk[i+1:]...)
			}
			return
		}
	}
}

// Next is when its step ends; 0: it has nothing to do.
func (w *Worker) Next() balancer.Micros { return w.ends }

// key names a block of a context: what is alike has the same key.
func (w *Worker) key(s *sequence, i int) uint64 {
	of := s.job.Session
	if (i+1)*w.p.Block <= s.job.Shared {
		of = s.job.Prefix
	}
	if of == 0 {
		return 0
	}
	return mix(of, uint64(i)+1)
}

// mix is the finalizer of SplitMix64 (Steele et al., OOPSLA 2014) over both words.
func mix(a, b uint64) uint64 {
	z := a + b*0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	if z ^= z >> 31; z == 0 {
		return 1
	}
	return z
}

func (w *Worker) unlink(b *block) {
	b.prev.next, b.next.prev = b.next, b.prev
	b.prev, b.next = nil, nil
	w.kept--
}

// take finds memory for one more block: free, or of the kept one used longest ago.
func (w *Worker) take(key uint64) *block {
	if w.used == w.total {
		old := w.idle.next
		if old == &w.idle {
			return nil
		}
		w.unlink(old)
		delete(w.byKey, old.key)
		w.used--
	}
	w.used++
	b := &block{key: key, refs: 1}
	if key != 0 && w.byKey[key] == nil {
		w.byKey[key] = b
	} else {
		b.key = 0
	}
	return b
}

// release gives a sequence's blocks back: those with a key are kept while there is
// room, the last of a context before the first.
func (w *Worker) release(s *sequence) {
	for i := len(s.blocks) - 1; i >= 0; i-- {
		b := s.blocks[i]
		if b.refs--; b.refs > 0 {
			continue
		}
		if b.key == 0 {
			w.used--
			continue
		}
		b.prev, b.next = w.idle.prev, &w.idle
		b.prev.next, b.next.prev = b, b
		w.kept++
	}
	s.blocks = s.blocks[:0]
	s.read = 0
}

// admit brings a waiting sequence into the batch, with what is kept of its context;
// false: there is no memory for its prompt.
func (w *Worker) admit(s *sequence) bool {
	context := s.job.Prompt + s.made
	need := w.blocksOf(context + 1)
	// Whole blocks of the context that are kept, from its beginning on; the last
	// token is always read, for it makes the next.
	for i := 0; (i+1)*w.p.Block < context; i++ {
		key := w.key(s, i)
		b := w.byKey[key]
		if key == 0 || b == nil {
			break
		}
		if b.refs == 0 {
			w.unlink(b)
		}
		b.refs++
		s.blocks = append(s.blocks, b)
	}
	if need-len(s.blocks) > w.total-w.used+w.kept {
		w.release(s)
		return false
	}
	s.read = len(s.blocks) * w.p.Block
	if !s.first {
		s.kept = s.read
	}
	w.Reused += int64(s.read)
	for len(s.blocks) < need {
		s.blocks = append(s.blocks, w.take(w.key(s, len(s.blocks))))
	}
	return true
}

// begin starts the next step, if there is something to do.
func (w *Worker) begin(now balancer.Micros) {
	w.ends = 0
	for len(w.waiting) > 0 && len(w.running) < w.p.Slots && w.admit(w.waiting[0]) {
		w.running = append(w.running, w.waiting[0])
		w.waiting = w.waiting[1:]
	}
	if len(w.running) == 0 {
		return
	}
	left, making, context, reading := w.p.Chunk, 0, 0, 0
	w.chunk = w.chunk[:0]
	for _, s := range w.running {
		todo := s.todo()
		if todo <= 1 && s.made > 0 { // it only needs its last token
			making++
			context += s.read
			w.chunk = append(w.chunk, todo)
			continue
		}
		n := min(todo, left)
		left -= n
		reading += n
		context += s.read * min(n, 1)
		w.chunk = append(w.chunk, n)
	}
	d := w.p.Base + w.p.PerSequence*float64(making) + (w.p.PerContext*float64(context)+w.p.PerPrompt*float64(reading))/1000
	d *= w.slow * w.cold(now)
	w.ends = max(now, w.warmAt) + max(1, balancer.Micros(d))
	w.Busy += max(1, balancer.Micros(d))
	w.Steps++
	w.Read += int64(reading)
}

func (w *Worker) cold(now balancer.Micros) float64 {
	since := now - w.warmAt
	if w.p.ColdFor <= 0 || since >= w.p.ColdFor {
		return 1
	}
	return 1 + (w.p.ColdSlow-1)*(1-float64(max(0, since))/float64(w.p.ColdFor))
}

// Advance ends the step that ends now and begins the next. The events are good
// until the next call.
func (w *Worker) Advance(now balancer.Micros) []Event {
	w.events = w.events[:0]
	if w.ends == 0 || now < w.ends {
		return nil
	}
	out := w.running[:0]
	for i, s := range w.running {
		s.read += w.chunk[i]
		if s.todo() > 0 { // its prompt is not read yet
			out = append(out, s)
			continue
		}
		s.made++
		w.Made++
		if !s.first {
			s.first = true
			w.events = append(w.events, Event{s.job.ID, First, s.kept, s.made})
		}
		if w.Each {
			w.events = append(w.events, Event{s.job.ID, Token, s.kept, s.made})
		}
		if s.made >= s.job.Out {
			w.events = append(w.events, Event{s.job.ID, Done, s.kept, s.made})
			w.release(s)
			continue
		}
		out = append(out, s)
	}
	for i := len(out); i < len(w.running); i++ {
		w.running[i] = nil
	}
	w.running = out
	w.grow()
	w.begin(now)
	return w.events
}

// grow finds room for the next token of each sequence. Where there is none, the one
// that came last gives its memory up and is read again later.
func (w *Worker) grow() {
	for i := 0; i < len(w.running); i++ {
		s := w.running[i]
		for len(s.blocks) < w.blocksOf(s.job.Prompt+s.made+1) {
			b := w.take(w.key(s, len(s.blocks)))
			if b != nil {
				s.blocks = append(s.blocks, b)
				continue
			}
			last := len(w.running) - 1
			victim := w.running[last]
			w.release(victim)
			w.Preempted++
			w.running = w.running[:last]
			w.waiting = append([]*sequence{victim}, w.waiting...)
			if last <= i {
				return
			}
		}
	}
}

// Flush forgets all that is kept and not in use.
func (w *Worker) Flush() {
	for b := w.idle.next; b != &w.idle; b = w.idle.next {
		w.unlink(b)
		delete(w.byKey, b.key)
		w.used--
	}
}

// Jobs are those that it has, running ones first.
func (w *Worker) Jobs() (out []uint64) {
	for _, s := range w.running {
		out = append(out, s.job.ID)
	}
	for _, s := range w.waiting {
		out = append(out, s.job.ID)
	}
	return out
}
