// Package replica simulates a model server that runs a language model by continuous batching. The
// simulator is a state machine without a clock of its own: the fleet model drives it in virtual time, the
// emulator in real time.
//
// The model follows published descriptions of such servers: sequences join and leave the running batch
// between two steps (Yu et al., "Orca", OSDI 2022); memory for keys and values is allocated in blocks,
// shared between prompts with the same beginning, and cached until it is needed (Kwon et al.,
// "PagedAttention", SOSP 2023); prompts are read in chunks together with the decoding of running sequences
// (Agrawal et al., "Sarathi-Serve", OSDI 2024).
package replica

import (
	"slices"

	"archknot/balancer"
)

// Job is a request as the replica gets it.
type Job struct {
	ID           uint64
	PromptTokens int
	OutputTokens int    // length of the answer, which the replica does not know beforehand
	Prefix       uint64 // prompts with the same prefix have their first PrefixTokens in common
	PrefixTokens int
	Session      uint64 // prompts of a session continue each other, answers included; 0: none
}

// EventKind is what happened to a job.
type EventKind uint8

// The kinds of events.
const (
	FirstToken     EventKind = iota
	Completed                // with the last token
	TokenGenerated           // for each token, if Simulator.EmitTokens is set
)

// Event is something that happened to a job at the end of a step.
type Event struct {
	Job          uint64
	Kind         EventKind
	CachedTokens int // prompt tokens whose keys and values were cached at the job's first admission
	OutputTokens int // tokens made so far
}

// sequence is a job in the queue or in the batch.
type sequence struct {
	job                 Job
	computedTokens      int // tokens of its context that are in memory
	outputTokens        int
	cachedTokens        int
	blocks              []*block
	firstTokenGenerated bool
}

// uncomputedTokens returns how many tokens must be read before the next one can be made.
func (s *sequence) uncomputedTokens() int {
	return s.job.PromptTokens + s.outputTokens - s.computedTokens
}

// contextTokens returns the length of the prompt and the tokens made so far.
func (s *sequence) contextTokens() int { return s.job.PromptTokens + s.outputTokens }

// Simulator is the state of one replica. It must not be used by several goroutines at once.
type Simulator struct {
	EmitTokens bool // emit an event for each token

	params     Params
	slowdown   float64 // factor on the time of steps, set by faults
	memory     *blockMemory
	waiting    []*sequence
	running    []*sequence
	stepEnd    balancer.Micros // end of the step in progress; 0: none
	stepTokens []int           // tokens read in that step, by index in running
	readyAt    balancer.Micros // when it begins to accept jobs
	events     []Event

	// Counts since the start.
	Steps, OutputTokens, PromptTokensRead, PromptTokensReused, Preempted, Declined int64
	BusyTime                                                                       balancer.Micros
}

// New returns a replica that begins to accept jobs at readyAt.
func New(params Params, readyAt balancer.Micros) *Simulator {
	return &Simulator{
		params:   params,
		slowdown: 1,
		memory:   newBlockMemory(params.MemoryTokens / params.BlockTokens),
		readyAt:  readyAt,
	}
}

// SetSlowdown sets the factor on the time of steps that begin from now on; 1 is normal.
func (s *Simulator) SetSlowdown(factor float64) { s.slowdown = factor }

// Load returns what the replica would report: the running and waiting sequences, the share of memory that
// they use, and the prompt tokens that are still to be read.
func (s *Simulator) Load() (running, waiting int, memory float64, uncomputed int) {
	for _, seq := range s.running {
		uncomputed += seq.uncomputedTokens()
	}
	for _, seq := range s.waiting {
		uncomputed += seq.uncomputedTokens()
	}
	return len(s.running), len(s.waiting), s.memory.inUseFraction(), uncomputed
}

// Offer submits a job. It returns false if the replica declines it, because the queue is full or memory
// could never hold the job.
func (s *Simulator) Offer(now balancer.Micros, job Job) bool {
	if s.queueFull() || s.params.blocksFor(job.PromptTokens+job.OutputTokens) > s.memory.totalCount {
		s.Declined++
		return false
	}
	s.waiting = append(s.waiting, &sequence{job: job})
	if s.stepEnd == 0 {
		s.startStep(now)
	}
	return true
}

func (s *Simulator) queueFull() bool {
	if len(s.waiting) < s.params.MaxQueued {
		return false
	}
	return len(s.running)+len(s.waiting) >= s.params.MaxRunning+s.params.MaxQueued || len(s.running) >= s.params.MaxRunning
}

// Cancel removes a job whose client has disconnected.
func (s *Simulator) Cancel(id uint64) {
	hasID := func(seq *sequence) bool { return seq.job.ID == id }
	if i := slices.IndexFunc(s.waiting, hasID); i >= 0 {
		s.release(s.waiting[i])
		s.waiting = slices.Delete(s.waiting, i, i+1)
		return
	}
	if i := slices.IndexFunc(s.running, hasID); i >= 0 {
		s.release(s.running[i])
		s.running = slices.Delete(s.running, i, i+1)
		if s.stepEnd != 0 {
			s.stepTokens = slices.Delete(s.stepTokens, i, i+1)
		}
	}
}

// StepEnd returns when the step in progress ends; 0: the replica is idle.
func (s *Simulator) StepEnd() balancer.Micros { return s.stepEnd }

// JobIDs returns the jobs that the replica has, running ones first.
func (s *Simulator) JobIDs() (ids []uint64) {
	for _, seq := range s.running {
		ids = append(ids, seq.job.ID)
	}
	for _, seq := range s.waiting {
		ids = append(ids, seq.job.ID)
	}
	return ids
}

// FlushCache frees all cached memory that no job uses.
func (s *Simulator) FlushCache() { s.memory.flush() }

// Advance ends the step in progress if it ends by now, and begins the next one. The events are valid until
// the next call.
func (s *Simulator) Advance(now balancer.Micros) []Event {
	s.events = s.events[:0]
	if s.stepEnd == 0 || now < s.stepEnd {
		return nil
	}
	remaining := s.running[:0]
	for i, seq := range s.running {
		seq.computedTokens += s.stepTokens[i]
		if seq.uncomputedTokens() > 0 || !s.generateToken(seq) {
			remaining = append(remaining, seq)
		}
	}
	clear(s.running[len(remaining):])
	s.running = remaining
	s.growBlocks()
	s.startStep(now)
	return s.events
}

// generateToken adds a token to a sequence that has read its context, and returns true if it was the last one.
func (s *Simulator) generateToken(seq *sequence) (completed bool) {
	seq.outputTokens++
	s.OutputTokens++
	if !seq.firstTokenGenerated {
		seq.firstTokenGenerated = true
		s.emit(seq, FirstToken)
	}
	if s.EmitTokens {
		s.emit(seq, TokenGenerated)
	}
	if seq.outputTokens < seq.job.OutputTokens {
		return false
	}
	s.emit(seq, Completed)
	s.release(seq)
	return true
}

func (s *Simulator) emit(seq *sequence, kind EventKind) {
	s.events = append(s.events, Event{Job: seq.job.ID, Kind: kind, CachedTokens: seq.cachedTokens, OutputTokens: seq.outputTokens})
}

// startStep admits waiting sequences and starts the next step, if there is anything to do.
func (s *Simulator) startStep(now balancer.Micros) {
	s.stepEnd = 0
	for len(s.waiting) > 0 && len(s.running) < s.params.MaxRunning && s.admit(s.waiting[0]) {
		s.running = append(s.running, s.waiting[0])
		s.waiting = s.waiting[1:]
	}
	if len(s.running) == 0 {
		return
	}
	decoding, contextTokens, promptTokens := s.planStep()
	p := &s.params
	duration := p.StepBase + p.StepPerSequence*float64(decoding) + (p.StepPerContext*float64(contextTokens)+p.StepPerPrompt*float64(promptTokens))/1000
	duration *= s.slowdown * p.warmUpFactor(now-s.readyAt)
	s.stepEnd = max(now, s.readyAt) + max(1, balancer.Micros(duration))
	s.BusyTime += max(1, balancer.Micros(duration))
	s.Steps++
	s.PromptTokensRead += int64(promptTokens)
}

// planStep sets the tokens that each running sequence reads in the next step. It returns the number of
// sequences that only make a token, the context that the step attends to, and the prompt tokens it reads.
func (s *Simulator) planStep() (decoding, contextTokens, promptTokens int) {
	chunkLeft := s.params.ChunkTokens
	s.stepTokens = s.stepTokens[:0]
	for _, seq := range s.running {
		uncomputed := seq.uncomputedTokens()
		if uncomputed <= 1 && seq.outputTokens > 0 { // only the token made last
			decoding++
			contextTokens += seq.computedTokens
			s.stepTokens = append(s.stepTokens, uncomputed)
			continue
		}
		n := min(uncomputed, chunkLeft)
		chunkLeft -= n
		promptTokens += n
		contextTokens += seq.computedTokens * min(n, 1)
		s.stepTokens = append(s.stepTokens, n)
	}
	return decoding, contextTokens, promptTokens
}

// admit allocates the memory of a waiting sequence's context and reuses what is cached of it. It returns
// false if there is not enough memory.
func (s *Simulator) admit(seq *sequence) bool {
	contextTokens := seq.contextTokens()
	needed := s.params.blocksFor(contextTokens + 1)
	// Complete blocks from the beginning of the context on. The last token is always read, because it
	// makes the next one.
	for i := 0; (i+1)*s.params.BlockTokens < contextTokens; i++ {
		b := s.memory.reuse(s.blockKey(seq, i))
		if b == nil {
			break
		}
		seq.blocks = append(seq.blocks, b)
	}
	if needed-len(seq.blocks) > s.memory.available() {
		s.release(seq)
		return false
	}
	seq.computedTokens = len(seq.blocks) * s.params.BlockTokens
	if !seq.firstTokenGenerated {
		seq.cachedTokens = seq.computedTokens
	}
	s.PromptTokensReused += int64(seq.computedTokens)
	for len(seq.blocks) < needed {
		seq.blocks = append(seq.blocks, s.memory.allocate(s.blockKey(seq, len(seq.blocks))))
	}
	return true
}

// blockKey returns the key of a block of the sequence's context: that of its prefix or of its session.
func (s *Simulator) blockKey(seq *sequence, index int) uint64 {
	content := seq.job.Session
	if (index+1)*s.params.BlockTokens <= seq.job.PrefixTokens {
		content = seq.job.Prefix
	}
	return blockKey(content, uint64(index)+1)
}

// release gives a sequence's blocks back, the last of its context first, so that the first are evicted last.
func (s *Simulator) release(seq *sequence) {
	for _, b := range slices.Backward(seq.blocks) {
		s.memory.release(b)
	}
	seq.blocks = seq.blocks[:0]
	seq.computedTokens = 0
}

// growBlocks allocates memory for the next token of each sequence. If there is none, it preempts the
// sequence that was admitted last, which is read again later.
func (s *Simulator) growBlocks() {
	for i := 0; i < len(s.running); i++ {
		seq := s.running[i]
		for len(seq.blocks) < s.params.blocksFor(seq.contextTokens()+1) {
			if b := s.memory.allocate(s.blockKey(seq, len(seq.blocks))); b != nil {
				seq.blocks = append(seq.blocks, b)
				continue
			}
			last := len(s.running) - 1
			s.preempt(last)
			if last <= i {
				return
			}
		}
	}
}

// preempt moves a running sequence back to the front of the queue and releases its memory.
func (s *Simulator) preempt(index int) {
	victim := s.running[index]
	s.release(victim)
	s.Preempted++
	s.running = s.running[:index]
	s.waiting = append([]*sequence{victim}, s.waiting...)
}
