package replica

import (
	"fmt"

	"archknot/balancer"
)

// Params describe a kind of replica.
type Params struct {
	MaxRunning   int // sequences in the running batch
	MaxQueued    int // sequences waiting; a replica declines more
	MemoryTokens int // tokens of keys and values that memory holds
	BlockTokens  int // tokens in a block of memory
	ChunkTokens  int // most prompt tokens that are read in one step

	// Parts of a step's time in microseconds: the base, for each sequence that makes a token, for each
	// 1,000 tokens of context that these attend to, and for each 1,000 prompt tokens read.
	StepBase, StepPerSequence, StepPerContext, StepPerPrompt float64

	StartupTime    balancer.Micros // from the process start until it accepts jobs
	WarmUpTime     balancer.Micros // then steps take longer for this time, because caches and kernels are cold
	WarmUpSlowdown float64         // factor on steps at the beginning of the warm-up; it falls linearly to 1
	ConnectTime    balancer.Micros // to set up a connection
}

// Largest values that Check accepts.
const (
	maxRunningLimit = 1 << 16
	maxQueuedLimit  = 1 << 20
	maxMemoryTokens = 1 << 30
)

// Check returns an error for the first value that is out of its range.
func (p *Params) Check() error {
	switch {
	case p.MaxRunning < 1 || p.MaxQueued < 0 || p.MaxRunning > maxRunningLimit || p.MaxQueued > maxQueuedLimit:
		return fmt.Errorf("slots %d, queue %d: expected slots of 1 or more, and a queue of 0 or more", p.MaxRunning, p.MaxQueued)
	case p.BlockTokens < 1 || p.MemoryTokens < p.BlockTokens || p.MemoryTokens > maxMemoryTokens:
		return fmt.Errorf("memory %d, block %d: expected one block or more", p.MemoryTokens, p.BlockTokens)
	case p.ChunkTokens < 1:
		return fmt.Errorf("chunk %d: expected 1 or more", p.ChunkTokens)
	case !(p.StepBase >= 0 && p.StepPerSequence >= 0 && p.StepPerContext >= 0 && p.StepPerPrompt >= 0 && p.StepBase+p.StepPerSequence > 0):
		return fmt.Errorf("step times: expected 0 or more, and base or per-sequence above 0")
	case p.StartupTime < 0 || p.WarmUpTime < 0 || p.ConnectTime < 0 || p.WarmUpTime > 0 && !(p.WarmUpSlowdown >= 1):
		return fmt.Errorf("start, cold and connect: expected 0 or more; cold-slow: expected 1 or more")
	}
	return nil
}

// blocksFor returns how many blocks a context of so many tokens needs.
func (p *Params) blocksFor(tokens int) int { return (tokens + p.BlockTokens - 1) / p.BlockTokens }

// warmUpFactor returns the factor on the time of a step that begins at a time since the replica accepts jobs.
func (p *Params) warmUpFactor(sinceReady balancer.Micros) float64 {
	if p.WarmUpTime <= 0 || sinceReady >= p.WarmUpTime {
		return 1
	}
	return 1 + (p.WarmUpSlowdown-1)*(1-float64(max(0, sinceReady))/float64(p.WarmUpTime))
}
