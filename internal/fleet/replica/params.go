package replica

import (
	"fmt"

	"archknot/balancer"
)

// Params are the capacity and the timing of a kind of replica.
type Params struct {
	MaxRunning   int // largest number of sequences in the running batch
	MaxQueued    int // largest number of waiting sequences; the replica declines further ones
	MemoryTokens int // capacity of the KV cache in tokens
	BlockTokens  int // tokens per block of the KV cache
	ChunkTokens  int // largest number of prefill tokens in one step

	// Terms of the duration of a step in microseconds: constant, per decoding sequence, per 1,000 context
	// tokens attended to, and per 1,000 prefill tokens.
	StepBase, StepPerSequence, StepPerContext, StepPerPrompt float64

	StartupTime    balancer.Micros // from the process start until it runs jobs
	WarmUpTime     balancer.Micros // time after the startup during which steps are slower, because caches and kernels are cold
	WarmUpSlowdown float64         // factor on the duration of steps when the warm-up starts; falls linearly to 1
	ConnectTime    balancer.Micros // time to establish a connection
}

// Largest values that Check accepts.
const (
	maxRunningLimit = 1 << 16
	maxQueuedLimit  = 1 << 20
	maxMemoryTokens = 1 << 30
)

// Check returns an error for the first parameter that is out of range.
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

// blocksFor returns the number of blocks for a context of so many tokens.
func (p *Params) blocksFor(tokens int) int { return (tokens + p.BlockTokens - 1) / p.BlockTokens }

// warmUpFactor returns the factor on the duration of a step that starts sinceReady after the end of the startup.
func (p *Params) warmUpFactor(sinceReady balancer.Micros) float64 {
	if p.WarmUpTime <= 0 || sinceReady >= p.WarmUpTime {
		return 1
	}
	return 1 + (p.WarmUpSlowdown-1)*(1-float64(max(0, sinceReady))/float64(p.WarmUpTime))
}
