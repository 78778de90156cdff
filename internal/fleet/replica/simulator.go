// Package replica simulates a model server that serves a language model with continuous batching. The simulator
// is a state machine without a clock: the fleet model drives it in virtual time, the emulator in real time.
//
// The model follows published descriptions of such servers: sequences join and leave the running batch
// between two steps (Yu et al., "Orca", OSDI 2022); the key-value (KV) cache is allocated in blocks,
// shared between prompts with the same prefix, and kept until its memory is needed (Kwon et al.,
// "PagedAttention", SOSP 2023); prefill runs in chunks, in the same steps as the decoding of other sequences
// (Agrawal et al., "Sarathi-Serve", OSDI 2024).
package replica

import (
	"slices"

	"archknot/balancer"
)

// Job is a request to the simulated replica.
type Job struct {
	ID           uint64
	PromptTokens int
	OutputTokens int    // length of the answer; used in advance only to decline jobs that can never fit
	Prefix       uint64 // prompts with the same Prefix share their first PrefixTokens tokens; 0: none
	PrefixTokens int
	Session      uint64 // each prompt of a session extends the previous prompt and its answer; 0: none
}

// EventKind is the kind of an Event.
type EventKind uint8

// Kinds of events.
const (
	FirstToken     EventKind = iota
	Completed                // the last token was generated
	TokenGenerated           // any token was generated; emitted only if Simulator.EmitTokens is set
)

// Event reports the progress of a job at the end of a step.
type Event struct {
	Job          uint64
	Kind         EventKind
	CachedTokens int // prompt tokens that were in the KV cache when the job last entered the batch before its first token
	OutputTokens int // tokens generated so far
}

// sequence is a job in the queue or in the batch.
type sequence struct {
	job                 Job
	kvTokens            int // context tokens whose keys and values are in the KV cache
	outputTokens        int
	cachedTokens        int
	blocks              []*block
	firstTokenGenerated bool
}

// uncomputedTokens returns the number of context tokens to compute before the next token can be generated.
func (s *sequence) uncomputedTokens() int { return s.job.PromptTokens + s.outputTokens - s.kvTokens }

// contextTokens returns the length of the context: the prompt and the tokens generated so far.
func (s *sequence) contextTokens() int { return s.job.PromptTokens + s.outputTokens }

// Simulator simulates one replica. It is not safe for concurrent use.
type Simulator struct {
	EmitTokens bool // emit a TokenGenerated event for each token

	params     Params
	slowdown   float64 // factor on the duration of steps, set by faults
	memory     *blockMemory
	waiting    []*sequence
	running    []*sequence
	stepEnd    balancer.Micros // end of the step in progress; 0: idle
	stepTokens []int           // context tokens that this step computes, by index in running
	readyAt    balancer.Micros // earliest start of a step; jobs submitted before wait
	events     []Event

	// Counters since the start.
	Steps, OutputTokens, PromptTokensRead, PromptTokensReused, Preempted, Declined int64
	BusyTime                                                                       balancer.Micros
}

// New returns a replica whose startup ends at readyAt. Jobs that are submitted earlier run from then on.
func New(params Params, readyAt balancer.Micros) *Simulator {
	return &Simulator{
		params:   params,
		slowdown: 1,
		memory:   newBlockMemory(params.MemoryTokens / params.BlockTokens),
		readyAt:  readyAt,
	}
}

// SetSlowdown sets the factor on the duration of the steps that start from now on; 1 is normal.
func (s *Simulator) SetSlowdown(factor float64) { s.slowdown = factor }

// Load returns the values of a load report: the numbers of running and waiting sequences, the fraction of the KV
// cache in use, and the number of context tokens that are still to be computed.
func (s *Simulator) Load() (running, waiting int, memory float64, uncomputed int) {
	for _, seq := range s.running {
		uncomputed += seq.uncomputedTokens()
	}
	for _, seq := range s.waiting {
		uncomputed += seq.uncomputedTokens()
	}
	return len(s.running), len(s.waiting), s.memory.inUseFraction(), uncomputed
}

// Submit submits a job. It returns false if the replica declines the job, because the queue is full or the job
// exceeds the capacity of the KV cache.
func (s *Simulator) Submit(now balancer.Micros, job Job) bool {
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

// Cancel removes a job, for example when its client has disconnected. Unknown IDs are ignored.
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

// StepEnd returns the end of the step in progress, or 0 if the replica is idle.
func (s *Simulator) StepEnd() balancer.Micros { return s.stepEnd }

// JobIDs returns the IDs of the running jobs, followed by those of the waiting jobs.
func (s *Simulator) JobIDs() (ids []uint64) {
	for _, seq := range s.running {
		ids = append(ids, seq.job.ID)
	}
	for _, seq := range s.waiting {
		ids = append(ids, seq.job.ID)
	}
	return ids
}

// FlushCache frees all cached blocks that no job uses.
func (s *Simulator) FlushCache() { s.memory.flush() }

// Advance completes the step in progress if it ends by now, and starts the next one. It returns the events of the
// completed step, which are valid until the next call.
func (s *Simulator) Advance(now balancer.Micros) []Event {
	s.events = s.events[:0]
	if s.stepEnd == 0 || now < s.stepEnd {
		return nil
	}
	remaining := s.running[:0]
	for i, seq := range s.running {
		seq.kvTokens += s.stepTokens[i]
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

// generateToken adds a token to a sequence whose context is computed, and returns true if it was the last one.
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

// startStep admits waiting sequences and starts the next step, unless no sequence is running.
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

// planStep sets the number of tokens that the next step computes for each running sequence. It returns the number
// of decoding sequences, the context tokens that the step attends to, and its prefill tokens.
func (s *Simulator) planStep() (decoding, contextTokens, promptTokens int) {
	chunkLeft := s.params.ChunkTokens
	s.stepTokens = s.stepTokens[:0]
	for _, seq := range s.running {
		uncomputed := seq.uncomputedTokens()
		if uncomputed <= 1 && seq.outputTokens > 0 { // decoding: only the last generated token is uncomputed
			decoding++
			contextTokens += seq.kvTokens
			s.stepTokens = append(s.stepTokens, uncomputed)
			continue
		}
		n := min(uncomputed, chunkLeft)
		chunkLeft -= n
		promptTokens += n
		contextTokens += seq.kvTokens * min(n, 1)
		s.stepTokens = append(s.stepTokens, n)
	}
	return decoding, contextTokens, promptTokens
}

// admit allocates the blocks for the context of a waiting sequence, and reuses cached ones. It returns false if
// there is not enough memory.
func (s *Simulator) admit(seq *sequence) bool {
	contextTokens := seq.contextTokens()
	needed := s.params.blocksFor(contextTokens + 1)
	// Reuse complete blocks from the start of the context. The last token is never reused, because its
	// computation generates the next token.
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
	seq.kvTokens = len(seq.blocks) * s.params.BlockTokens
	if !seq.firstTokenGenerated {
		seq.cachedTokens = seq.kvTokens
	}
	s.PromptTokensReused += int64(seq.kvTokens)
	for len(seq.blocks) < needed {
		seq.blocks = append(seq.blocks, s.memory.allocate(s.blockKey(seq, len(seq.blocks))))
	}
	return true
}

// blockKey returns the key of a block of the sequence's context. Blocks within the prefix are shared by all
// prompts with this prefix, and later blocks by the prompts of the session.
func (s *Simulator) blockKey(seq *sequence, index int) uint64 {
	content := seq.job.Session
	if (index+1)*s.params.BlockTokens <= seq.job.PrefixTokens {
		content = seq.job.Prefix
	}
	return blockKey(content, uint64(index)+1)
}

// release releases the blocks of a sequence in reverse order, so that the start of its context is evicted last.
func (s *Simulator) release(seq *sequence) {
	for _, b := range slices.Backward(seq.blocks) {
		s.memory.release(b)
	}
	seq.blocks = seq.blocks[:0]
	seq.kvTokens = 0
}

// growBlocks allocates memory for the next token of each running sequence. If memory is exhausted, it preempts
// the most recently admitted sequence, whose context is computed again later.
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

// preempt moves the last running sequence, which is at index, to the front of the queue and releases its memory.
func (s *Simulator) preempt(index int) {
	victim := s.running[index]
	s.release(victim)
	s.Preempted++
	s.running = s.running[:index]
	s.waiting = append([]*sequence{victim}, s.waiting...)
}
