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
	MaxRunning   int // sequences that run at once
	MaxQueued    int // that may wait; beyond them it declines
	MemoryTokens int // tokens of keys and values
	BlockTokens  int // tokens in a block
	ChunkTokens  int // prompt tokens read in one step, at most

	// A step takes Base, and StepPerSequence for each that makes a token, StepPerContext
	// for each 1,000 tokens that those attend to, and StepPerPrompt for each 1,000
	// tokens read; microseconds.
	StepBase, StepPerSequence, StepPerContext, StepPerPrompt float64

	StartupTime    balancer.Micros // from its start until it takes work
	WarmUpTime     balancer.Micros // from then on it is slower: caches and kernels are cold
	WarmUpSlowdown float64         // so many times at first, less and less
	ConnectTime    balancer.Micros // to set a connection up
}

// Check tells what is wrong with them.
func (p *Params) Check() error {
	switch {
	case p.MaxRunning < 1 || p.MaxQueued < 0 || p.MaxRunning > 1<<16 || p.MaxQueued > 1<<20:
		return fmt.Errorf("slots %d, queue %d: expected 1 or more, and 0 or more", p.MaxRunning, p.MaxQueued)
	case p.BlockTokens < 1 || p.MemoryTokens < p.BlockTokens || p.MemoryTokens > 1<<30:
		return fmt.Errorf("memory %d, block %d: expected a block or more", p.MemoryTokens, p.BlockTokens)
	case p.ChunkTokens < 1:
		return fmt.Errorf("chunk %d: expected 1 or more", p.ChunkTokens)
	case !(p.StepBase >= 0 && p.StepPerSequence >= 0 && p.StepPerContext >= 0 && p.StepPerPrompt >= 0 && p.StepBase+p.StepPerSequence > 0):
		return fmt.Errorf("step times: expected 0 or more, and some time")
	case p.StartupTime < 0 || p.WarmUpTime < 0 || p.ConnectTime < 0 || p.WarmUpTime > 0 && !(p.WarmUpSlowdown >= 1):
		return fmt.Errorf("start, cold and connection: expected 0 or more, and a factor of 1 or more")
	}
	return nil
}

// Job is one request, as the worker sees it.
type Job struct {
	ID           uint64
	PromptTokens int    // tokens
	OutputTokens int    // tokens that it will make; the worker does not know it before
	Prefix       uint64 // beginnings of one key are alike for PrefixLen tokens
	PrefixTokens int    // PrefixLen
	Session      uint64 // prompts of one session begin alike, answers included; 0: of none
}

// EventKind says what happened to a job.
type EventKind uint8

const (
	FirstToken EventKind = iota // its first token was made
	Completed                   // its last
	TokenMade                   // each, where the worker is told to tell
)

// Event is one thing that happened at the end of a step.
type Event struct {
	Job          uint64
	Kind         EventKind
	CachedTokens int // tokens of the prompt that were not read anew; at First
	OutputTokens int // tokens made so far
}

// sequence is a job in the queue or in the batch.
type sequence struct {
	job            Job
	readTokens     int // tokens of its context that are in memory
	outputTokens   int
	cachedTokens   int
	blocks         []*block
	queued         balancer.Micros
	firstTokenMade bool // its first token was told
}

// unreadTokens is how many tokens must be read before the next can be made.
func (s *sequence) unreadTokens() int { return s.job.PromptTokens + s.outputTokens - s.readTokens }

// block is one of the memory's, linked into the list of those that nobody uses.
type block struct {
	key        uint64 // 0: nobody else can use it
	refs       int
	prev, next *block
}

// Simulator is one. It is not safe for use by several tasks at once.
type Simulator struct {
	params       Params
	EmitTokens   bool    // tell each token
	slowdown     float64 // by faults; 1: as it should be
	waiting      []*sequence
	running      []*sequence
	byKey        map[uint64]*block
	cachedList   block // ring of blocks that are kept and not used, the oldest first
	usedBlocks   int   // blocks in use or kept
	cachedBlocks int   // of them, kept only
	totalBlocks  int
	stepEnd      balancer.Micros // of the step that runs; 0: none
	stepTokens   []int           // tokens read in it, by place in running
	readyAt      balancer.Micros // when it began to take work
	events       []Event

	// Figures since the start.
	Steps, OutputTokens, PromptTokensRead, PromptTokensReused, Preempted, Declined int64
	BusyTime                                                                       balancer.Micros
}

// New is a worker that begins to take work at a moment.
func New(p Params, takesWork balancer.Micros) *Simulator {
	w := &Simulator{params: p, slowdown: 1, byKey: map[uint64]*block{}, totalBlocks: p.MemoryTokens / p.BlockTokens, readyAt: takesWork}
	w.cachedList.prev, w.cachedList.next = &w.cachedList, &w.cachedList
	return w
}

// SetSlowdown has steps that begin from now on take so many times as long; 1: as they should.
func (w *Simulator) SetSlowdown(factor float64) { w.slowdown = factor }

// Load is what it would report: sequences running and waiting, memory in use by
// them as a share, and prompt tokens that are yet to be read.
func (w *Simulator) Load() (running, waiting int, memory float64, unread int) {
	for _, s := range w.running {
		unread += s.unreadTokens()
	}
	for _, s := range w.waiting {
		unread += s.unreadTokens()
	}
	return len(w.running), len(w.waiting), float64(w.usedBlocks-w.cachedBlocks) / float64(w.totalBlocks), unread
}

// Offer gives it a job; false says that it declines it: its queue is full, or its
// memory could never hold it.
func (w *Simulator) Offer(now balancer.Micros, j Job) bool {
	if len(w.waiting) >= w.params.MaxQueued && (len(w.running)+len(w.waiting) >= w.params.MaxRunning+w.params.MaxQueued || len(w.running) >= w.params.MaxRunning) ||
		w.blocksOf(j.PromptTokens+j.OutputTokens) > w.totalBlocks {
		w.Declined++
		return false
	}
	w.waiting = append(w.waiting, &sequence{job: j, queued: now})
	if w.stepEnd == 0 {
		w.startStep(now)
	}
	return true
}

func (w *Simulator) blocksOf(tokens int) int {
	return (tokens + w.params.BlockTokens - 1) / w.params.BlockTokens
}

// Cancel takes a job out: its client has gone.
func (w *Simulator) Cancel(id uint64) {
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
			if w.stepEnd != 0 {
				w.stepTokens = append(w.stepTokens[:i], w.stepTokens[i+1:]...)
			}
			return
		}
	}
}

// StepEnd is when its step ends; 0: it has nothing to do.
func (w *Simulator) StepEnd() balancer.Micros { return w.stepEnd }

// blockKey names a block of a context: what is alike has the same key.
func (w *Simulator) blockKey(s *sequence, i int) uint64 {
	of := s.job.Session
	if (i+1)*w.params.BlockTokens <= s.job.PrefixTokens {
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

func (w *Simulator) unlink(b *block) {
	b.prev.next, b.next.prev = b.next, b.prev
	b.prev, b.next = nil, nil
	w.cachedBlocks--
}

// allocateBlock finds memory for one more block: free, or of the kept one used longest ago.
func (w *Simulator) allocateBlock(key uint64) *block {
	if w.usedBlocks == w.totalBlocks {
		old := w.cachedList.next
		if old == &w.cachedList {
			return nil
		}
		w.unlink(old)
		delete(w.byKey, old.key)
		w.usedBlocks--
	}
	w.usedBlocks++
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
func (w *Simulator) release(s *sequence) {
	for i := len(s.blocks) - 1; i >= 0; i-- {
		b := s.blocks[i]
		if b.refs--; b.refs > 0 {
			continue
		}
		if b.key == 0 {
			w.usedBlocks--
			continue
		}
		b.prev, b.next = w.cachedList.prev, &w.cachedList
		b.prev.next, b.next.prev = b, b
		w.cachedBlocks++
	}
	s.blocks = s.blocks[:0]
	s.readTokens = 0
}

// admit brings a waiting sequence into the batch, with what is kept of its context;
// false: there is no memory for its prompt.
func (w *Simulator) admit(s *sequence) bool {
	context := s.job.PromptTokens + s.outputTokens
	need := w.blocksOf(context + 1)
	// Whole blocks of the context that are kept, from its beginning on; the last
	// token is always read, for it makes the next.
	for i := 0; (i+1)*w.params.BlockTokens < context; i++ {
		key := w.blockKey(s, i)
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
	if need-len(s.blocks) > w.totalBlocks-w.usedBlocks+w.cachedBlocks {
		w.release(s)
		return false
	}
	s.readTokens = len(s.blocks) * w.params.BlockTokens
	if !s.firstTokenMade {
		s.cachedTokens = s.readTokens
	}
	w.PromptTokensReused += int64(s.readTokens)
	for len(s.blocks) < need {
		s.blocks = append(s.blocks, w.allocateBlock(w.blockKey(s, len(s.blocks))))
	}
	return true
}

// startStep starts the next step, if there is something to do.
func (w *Simulator) startStep(now balancer.Micros) {
	w.stepEnd = 0
	for len(w.waiting) > 0 && len(w.running) < w.params.MaxRunning && w.admit(w.waiting[0]) {
		w.running = append(w.running, w.waiting[0])
		w.waiting = w.waiting[1:]
	}
	if len(w.running) == 0 {
		return
	}
	left, making, context, reading := w.params.ChunkTokens, 0, 0, 0
	w.stepTokens = w.stepTokens[:0]
	for _, s := range w.running {
		todo := s.unreadTokens()
		if todo <= 1 && s.outputTokens > 0 { // it only needs its last token
			making++
			context += s.readTokens
			w.stepTokens = append(w.stepTokens, todo)
			continue
		}
		n := min(todo, left)
		left -= n
		reading += n
		context += s.readTokens * min(n, 1)
		w.stepTokens = append(w.stepTokens, n)
	}
	d := w.params.StepBase + w.params.StepPerSequence*float64(making) + (w.params.StepPerContext*float64(context)+w.params.StepPerPrompt*float64(reading))/1000
	d *= w.slowdown * w.warmUpFactor(now)
	w.stepEnd = max(now, w.readyAt) + max(1, balancer.Micros(d))
	w.BusyTime += max(1, balancer.Micros(d))
	w.Steps++
	w.PromptTokensRead += int64(reading)
}

func (w *Simulator) warmUpFactor(now balancer.Micros) float64 {
	since := now - w.readyAt
	if w.params.WarmUpTime <= 0 || since >= w.params.WarmUpTime {
		return 1
	}
	return 1 + (w.params.WarmUpSlowdown-1)*(1-float64(max(0, since))/float64(w.params.WarmUpTime))
}

// Advance ends the step that ends now and begins the next. The events are good
// until the next call.
func (w *Simulator) Advance(now balancer.Micros) []Event {
	w.events = w.events[:0]
	if w.stepEnd == 0 || now < w.stepEnd {
		return nil
	}
	out := w.running[:0]
	for i, s := range w.running {
		s.readTokens += w.stepTokens[i]
		if s.unreadTokens() > 0 { // its prompt is not read yet
			out = append(out, s)
			continue
		}
		s.outputTokens++
		w.OutputTokens++
		if !s.firstTokenMade {
			s.firstTokenMade = true
			w.events = append(w.events, Event{s.job.ID, FirstToken, s.cachedTokens, s.outputTokens})
		}
		if w.EmitTokens {
			w.events = append(w.events, Event{s.job.ID, TokenMade, s.cachedTokens, s.outputTokens})
		}
		if s.outputTokens >= s.job.OutputTokens {
			w.events = append(w.events, Event{s.job.ID, Completed, s.cachedTokens, s.outputTokens})
			w.release(s)
			continue
		}
		out = append(out, s)
	}
	for i := len(out); i < len(w.running); i++ {
		w.running[i] = nil
	}
	w.running = out
	w.growBlocks()
	w.startStep(now)
	return w.events
}

// growBlocks finds room for the next token of each sequence. Where there is none, the one
// that came last gives its memory up and is read again later.
func (w *Simulator) growBlocks() {
	for i := 0; i < len(w.running); i++ {
		s := w.running[i]
		for len(s.blocks) < w.blocksOf(s.job.PromptTokens+s.outputTokens+1) {
			b := w.allocateBlock(w.blockKey(s, len(s.blocks)))
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

// FlushCache forgets all that is kept and not in use.
func (w *Simulator) FlushCache() {
	for b := w.cachedList.next; b != &w.cachedList; b = w.cachedList.next {
		w.unlink(b)
		delete(w.byKey, b.key)
		w.usedBlocks--
	}
}

// JobIDs are those that it has, running ones first.
func (w *Simulator) JobIDs() (out []uint64) {
	for _, s := range w.running {
		out = append(out, s.job.ID)
	}
	for _, s := range w.waiting {
		out = append(out, s.job.ID)
	}
	return out
}
