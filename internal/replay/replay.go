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

// Options of a replay. Times are on the module's clock.
type Options struct {
	From, To             balancer.Micros // 0: the ends of the run
	RestartAtCheckpoints bool            // go on with each checkpoint's state, also where this build's is the same
	Where                *Filter         // count differences only at events that match

	Explain      func(*Names, *pb.Record) bool // whether the picks of an event are wanted; nil: never
	OnStep       func(*Step)                   // called after each event
	OnDifference func(*Difference)
	Progress     func(at balancer.Micros) // called at each checkpoint
}

// Step is one replayed event.
type Step struct {
	Number      uint64
	At          balancer.Micros
	Record      *pb.Record
	Actions     []*pb.Action // of this build, in step with the recording; valid until the next event
	Differences []*Difference
	Picks       []Pick // if Options.Explain wants them
	Names       *Names
	Balancer    *balancer.Balancer
}

// Pick is one choice of a replica.
type Pick struct {
	Request  balancer.RequestID
	Chosen   balancer.ReplicaID
	Found    bool // otherwise there is no replica to choose
	Scores   []balancer.ScoreBreakdown
	Excluded []Excluded
}

// Excluded is a replica that was not a candidate, and why.
type Excluded struct {
	Replica balancer.ReplicaID
	Reason  string
}

// Difference is one decision that this build makes differently.
type Difference struct {
	Number   uint64          `json:"event"`
	At       balancer.Micros `json:"at_us"`
	Kind     string          `json:"kind"` // one of the kinds below
	Request  string          `json:"request,omitempty"`
	Class    string          `json:"class,omitempty"`
	Replica  string          `json:"worker,omitempty"` // that the recording has
	Event    string          `json:"told"`
	Own      string          `json:"own"` // what this build decides
	Recorded string          `json:"recorded"`
	Pick     *Pick           `json:"-"` // of the first difference of a pick
}

// Kinds of differences.
const (
	KindAdmit       = "admit"    // whether a request is admitted
	KindRetry       = "again"    // whether there is another attempt
	KindPick        = "pick"     // which replica, or none
	KindAnswer      = "answer"   // whether a request is shed or failed
	KindRetryAfter  = "advice"   // when the client should retry
	KindTimer       = "timer"    // the setting of a timer
	KindCancel      = "cancel"   // the cancelling of an attempt
	KindHealthCheck = "probe"    // health checks
	KindCutoff      = "cut"      // when an attempt times out
	KindDiscovery   = "registry" // watching discovery, and gossip
	KindContract    = "contract" // the verdict of a contract, or the ledger's state at a checkpoint
	KindState       = "state"    // the module's state at a checkpoint, where no decision was different
)

// Result summarizes a replay.
type Result struct {
	Events      uint64            `json:"events"`
	Actions     uint64            `json:"actions"`
	Digest      string            `json:"digest"` // of all decisions
	Differing   uint64            `json:"differ"`
	Gaps        uint64            `json:"gaps"`
	Missing     uint64            `json:"missing"` // events that the capture lost
	Skipped     uint64            `json:"skipped"` // events that no checkpoint leads to
	Checkpoints uint64            `json:"checkpoints"`
	ByKind      map[string]uint64 `json:"by_kind,omitempty"`
	ByClass     map[string]uint64 `json:"by_class,omitempty"`
	ByReplica   map[string]uint64 `json:"by_worker,omitempty"`
	Verdicts    uint64            `json:"verdicts"`              // of contracts that were compared
	Decisions   uint64            `json:"decisions"`             // picks, admissions and retries that were compared
	Differences string            `json:"differences,omitempty"` // digest of all differences; "" if there are none
}

// Line summarizes the result in one line.
func (r *Result) Line() string {
	return fmt.Sprintf("events=%d actions=%d digest=%s differ=%d gaps=%d", r.Events, r.Actions, r.Digest, r.Differing, r.Gaps)
}

// Replay replays a run. The error says that the run cannot be read; differences and gaps are in the result.
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
