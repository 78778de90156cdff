package replay

import (
	"errors"
	"fmt"
	"io"
	"math"

	"archknot/balancer"
	"archknot/internal/capture"
	pb "archknot/internal/capture/capturepb"
)

// Options configures a replay. Times are on the module's clock.
type Options struct {
	From, To             balancer.Micros // span to replay; 0: the start or end of the run
	RestartAtCheckpoints bool            // restore each checkpoint, also where this build's state is equal
	Where                *Filter         // count only differences at events that match; nil: all

	Explain      func(*Names, *pb.Record) bool // whether Step.Picks is set for an event; nil: never
	OnStep       func(*Step)                   // called after each event
	OnDifference func(*Difference)             // called for each counted difference
	Progress     func(at balancer.Micros)      // called at each checkpoint
}

// Step is one replayed event.
type Step struct {
	Number      uint64
	At          balancer.Micros
	Record      *pb.Record
	Actions     []*pb.Action // of this build, given the recorded decisions; valid until the next event
	Differences []*Difference
	Picks       []Pick // set if Options.Explain returns true
	Names       *Names
	Balancer    *balancer.Balancer
}

// Pick is one choice of a replica by this build.
type Pick struct {
	Request  balancer.RequestID
	Chosen   balancer.ReplicaID
	Found    bool // false: no replica could be chosen
	Scores   []balancer.ScoreBreakdown
	Excluded []Excluded
}

// Excluded is a replica that was not a candidate, with the reason.
type Excluded struct {
	Replica balancer.ReplicaID
	Reason  string
}

// Difference is one decision that this build makes differently.
type Difference struct {
	Number   uint64          `json:"event"`
	At       balancer.Micros `json:"at_us"`
	Kind     string          `json:"kind"` // a constant such as KindAdmit
	Request  string          `json:"request,omitempty"`
	Class    string          `json:"class,omitempty"`
	Replica  string          `json:"worker,omitempty"` // of the recorded action
	Event    string          `json:"told"`
	Own      string          `json:"own"` // decision of this build
	Recorded string          `json:"recorded"`
	Pick     *Pick           `json:"-"` // set only for the first differing pick of a run
}

// Kinds of differences.
const (
	KindAdmit       = "admit"    // whether a request is admitted
	KindRetry       = "again"    // whether a request gets another attempt
	KindPick        = "pick"     // which replica is chosen, if any
	KindAnswer      = "answer"   // whether a request is shed or failed
	KindRetryAfter  = "advice"   // when the client should retry
	KindTimer       = "timer"    // the setting of a timer
	KindCancel      = "cancel"   // the cancellation of an attempt
	KindHealthCheck = "probe"    // health checks
	KindCutoff      = "cut"      // when an attempt times out
	KindDiscovery   = "registry" // watching discovery, and gossip
	KindContract    = "contract" // the verdict of a contract, or the ledger's state at a checkpoint
	KindState       = "state"    // the module's state at a checkpoint, where no decision has differed since the previous one
)

// Result summarizes a replay.
type Result struct {
	Events      uint64            `json:"events"`
	Actions     uint64            `json:"actions"`
	Digest      string            `json:"digest"` // hash of all decisions
	Differing   uint64            `json:"differ"`
	Gaps        uint64            `json:"gaps"`
	Missing     uint64            `json:"missing"` // events that the capture has lost
	Skipped     uint64            `json:"skipped"` // events not replayed for lack of a checkpoint before them
	Checkpoints uint64            `json:"checkpoints"`
	ByKind      map[string]uint64 `json:"by_kind,omitempty"`
	ByClass     map[string]uint64 `json:"by_class,omitempty"`
	ByReplica   map[string]uint64 `json:"by_worker,omitempty"`
	Verdicts    uint64            `json:"verdicts"`              // contract verdicts that were compared
	Decisions   uint64            `json:"decisions"`             // picks, admissions and retries that were compared
	Differences string            `json:"differences,omitempty"` // hash of all differences; "" if there are none
}

// Line summarizes the result in one line.
func (r *Result) Line() string {
	return fmt.Sprintf("events=%d actions=%d digest=%s differ=%d gaps=%d", r.Events, r.Actions, r.Digest, r.Differing, r.Gaps)
}

// Replay replays a run. It returns an error if the run cannot be read; differences and gaps are part of the result.
func Replay(run *capture.Run, o Options) (*Result, error) {
	from := o.From
	if from == 0 {
		from = math.MinInt64
	}
	r, err := capture.NewReader(run, from)
	if err != nil {
		return nil, err
	}
	defer r.Close()
	p := newPlayer(run, &o)
	for {
		e, err := r.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, err
		}
		if o.To != 0 && e.At > o.To {
			break
		}
		if err := p.playEntry(e); err != nil {
			return nil, fmt.Errorf("event %d: %w", e.Number, err)
		}
	}
	return p.finish(), nil
}
