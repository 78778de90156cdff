// Package replay runs a capture through this build's decision module and tells
// where its decisions are others than the recorded ones.
package replay

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"strings"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"archknot/balancer"
	"archknot/internal/capture"
	pb "archknot/internal/capture/capturepb"
	"archknot/internal/contract/contractpb"
)

// Options of a replay.
type Options struct {
	From, To             balancer.Micros // on the module's clock; To 0: to the end
	RestartAtCheckpoints bool            // begin anew at each checkpoint, from its state
	Where                *Filter         // only differences at events that match count
	Explain              func(*Names, *pb.Record) bool
	OnStep               func(*Step) // after each event
	OnDifference         func(*Difference)
	Progress             func(at balancer.Micros)
}

// Step is one event, replayed.
type Step struct {
	Number      uint64
	At          balancer.Micros
	Record      *pb.Record
	Actions     []*pb.Action // what this build ordered, in step with the record; good until the next event
	Differences []*Difference
	Picks       []Pick // where Explain asked for them
	Names       *Names
	Balancer    *balancer.Balancer
}

// Pick is one choice of a worker.
type Pick struct {
	Request  balancer.RequestID
	Chosen   balancer.ReplicaID
	Found    bool
	Scores   []balancer.ScoreBreakdown
	Excluded []Excluded
}

// Excluded is a worker that was not weighed, and why.
type Excluded struct {
	Replica balancer.ReplicaID
	Reason  string
}

// Difference is one decision that this build makes otherwise.
type Difference struct {
	Number   uint64          `json:"event"`
	At       balancer.Micros `json:"at_us"`
	Kind     string          `json:"kind"` // of the decision: one of Kinds
	Request  string          `json:"request,omitempty"`
	Class    string          `json:"class,omitempty"`
	Replica  string          `json:"worker,omitempty"` // that the record names
	Event    string          `json:"told"`
	Own      string          `json:"own"`
	Recorded string          `json:"recorded"`
	Pick     *Pick           `json:"-"` // for the first difference of a pick
}

// Kinds of differences.
const (
	KindAdmit       = "admit"    // let in or turned away
	KindRetry       = "again"    // a further attempt
	KindPick        = "pick"     // which worker, or none
	KindAnswer      = "answer"   // refused or failed, or not at all
	KindRetryAfter  = "advice"   // when to come back
	KindTimer       = "timer"    // a timer
	KindCancel      = "cancel"   // calling off an attempt
	KindHealthCheck = "probe"    // probes
	KindCutoff      = "cut"      // when an attempt is cut off
	KindDiscovery   = "registry" // asking the registry, telling peers
	KindContract    = "contract" // what a contract allows a request, or its copy
	KindState       = "state"    // the state at a checkpoint, where no decision differed
)

// Result sums a replay up.
type Result struct {
	Events      uint64            `json:"events"`
	Actions     uint64            `json:"actions"`
	Digest      string            `json:"digest"`
	Differing   uint64            `json:"differ"`
	Gaps        uint64            `json:"gaps"`
	Missing     uint64            `json:"missing"` // events that the capture lost
	Skipped     uint64            `json:"skipped"` // events that no checkpoint leads to
	Checkpoints uint64            `json:"checkpoints"`
	ByKind      map[string]uint64 `json:"by_kind,omitempty"`
	ByClass     map[string]uint64 `json:"by_class,omitempty"`
	ByReplica   map[string]uint64 `json:"by_worker,omitempty"`
	Verdicts    uint64            `json:"verdicts"`              // of contracts, compared
	Decisions   uint64            `json:"decisions"`             // picks, admissions and further attempts compared
	Differences string            `json:"differences,omitempty"` // digest of all of them; "" if there are none
}

// Line is the last line of a replay.
func (r *Result) Line() string {
	return fmt.Sprintf("events=%d actions=%d digest=%s differ=%d gaps=%d", r.Events, r.Actions, r.Digest, r.Differing, r.Gaps)
}

// player replays one run.
type player struct {
	run        *capture.Run
	options    *Options
	result     *Result
	names      *Names
	digestHash *xxhash.Digest
	balancer   *balancer.Balancer    // nil: waiting for a checkpoint
	ledger     *capture.ReplayLedger // the contracts' book beside it

	now            balancer.Micros
	number         uint64
	record         *pb.Record
	usedActions    []bool // recorded orders that a decision has used up
	ownActions     []*pb.Action
	ownCount       int
	differences    []*Difference
	picks          []Pick
	buf            []byte
	differenceHash *xxhash.Digest
	diverged       bool // decisions differed since the last checkpoint
	pickKept       bool // a pick that differed has been kept with its terms
}

// Replay replays a run. The error says that the run cannot be read; differences
// and gaps are in the result.
func Replay(run *capture.Run, o Options) (*Result, error) {
	p := &player{run: run, options: &o, names: NewNames(), digestHash: xxhash.New(), differenceHash: xxhash.New(),
		result: &Result{ByKind: map[string]uint64{}, ByClass: map[string]uint64{}, ByReplica: map[string]uint64{}}}
	from := o.From
	if from == 0 {
		from = math.MinInt64
	}
	r, err := capture.NewReader(run, from)
	if err != nil {
		return nil, err
	}
	defer r.Close()
	for {
		e, err := r.Next()
		if err == io.EOF {
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
	if p.result.Differing > 0 {
		p.result.Differences = fmt.Sprintf("%016x", p.differenceHash.Sum64())
	}
	p.result.Digest = fmt.Sprintf("%016x", p.digestHash.Sum64())
	return p.result, nil
}

func (p *player) playEntry(e capture.Entry) error {
	if e.Missing != nil {
		p.result.Gaps++
		p.result.Missing += e.Missing.Events
		p.balancer = nil // what it was told after that is not known
		return nil
	}
	p.now, p.number, p.record = e.At, e.Number, e.Record
	p.names.Learn(e.Record)
	switch e.Record.Kind {
	case pb.Kind_KIND_CHECKPOINT:
		return p.compareCheckpoint(e.Record.Checkpoint)
	case pb.Kind_KIND_GAP:
		if p.balancer != nil { // else the jump of the numbers has told it already
			p.result.Gaps++
			p.result.Missing += e.Record.Gap.GetEvents()
		}
		p.balancer = nil
		return nil
	}
	if p.balancer == nil {
		p.result.Skipped++
		return nil
	}
	if capture.IsLedgerRecord(e.Record.Kind) {
		return p.playLedgerEvent()
	}
	return p.playEvent()
}

// compareCheckpoint compares the module's state with the recorded one, and takes the
// recorded one over where they have come apart.
func (p *player) compareCheckpoint(c *pb.Checkpoint) error {
	p.result.Checkpoints++
	if p.options.Progress != nil {
		p.options.Progress(p.now)
	}
	if p.balancer != nil {
		own := p.balancer.Snapshot()
		same, sameBook := bytes.Equal(own, c.State), bytes.Equal(p.ledger.Snapshot(), c.Book)
		if same && sameBook && !p.options.RestartAtCheckpoints {
			p.diverged = false
			return nil
		}
		if !p.diverged && !same {
			p.addDifference(KindState, 0, 0, describeStateDifference(own, c.State), "", nil)
			p.finishEvent(nil, false)
		}
		if !p.diverged && !sameBook {
			p.addDifference(KindContract, 0, 0, describeLedgerDifference(p.ledger.Snapshot(), c.Book), "", nil)
			p.finishEvent(nil, false)
		}
	}
	b, _, err := p.run.RestoreBalancer(c, p)
	if err != nil {
		return err
	}
	if p.ledger, err = capture.RestoreReplayLedger(c); err != nil {
		return err
	}
	b.SetInterceptor(p)
	p.balancer, p.diverged = b, false
	return nil
}

// playLedgerEvent has the book of contracts do an event again and compares its verdict.
func (p *player) playLedgerEvent() error {
	own, recorded, err := p.ledger.Apply(p.now, p.record)
	if err != nil {
		return err
	}
	if own != recorded {
		p.addDifference(KindContract, p.record.Request, 0, own, recorded, nil)
	}
	if p.record.Kind == pb.Kind_KIND_CHARGED {
		p.result.Verdicts++
	}
	p.result.Events++
	p.addToDigest(nil)
	p.buf = append(p.buf[:0], own...)
	p.digestHash.Write(p.buf)
	p.finishEvent(nil, true)
	return nil
}

// playEvent tells the module one event and compares what it orders.
func (p *player) playEvent() error {
	rec := p.record
	p.ownCount = 0
	p.usedActions = append(p.usedActions[:0], make([]bool, len(rec.Actions))...)
	if err := capture.Apply(p.balancer, p.now, rec); err != nil {
		return err
	}
	own := p.ownActions[:p.ownCount]
	p.compareActions(own, rec.Actions)
	p.result.Events++
	p.result.Actions += uint64(len(own))
	p.addToDigest(own)
	p.finishEvent(own, true)
	return nil
}

// finishEvent counts the differences of one event and hands it on.
func (p *player) finishEvent(own []*pb.Action, event bool) {
	counted := p.differences
	if len(counted) > 0 {
		p.diverged = true
		if f := p.options.Where; f != nil && !f.Match(p.names, p.record, p.now-p.run.Begin()) {
			counted = nil
		}
	}
	for _, d := range counted {
		p.result.Differing++
		p.result.ByKind[d.Kind]++
		fmt.Fprintf(p.differenceHash, "%d %s %s %s\n", d.Number, d.Kind, d.Own, d.Recorded)
		if d.Class != "" {
			p.result.ByClass[d.Class]++
		}
		if d.Replica != "" {
			p.result.ByReplica[d.Replica]++
		}
		if p.options.OnDifference != nil {
			p.options.OnDifference(d)
		}
	}
	if p.options.OnStep != nil && event {
		p.options.OnStep(&Step{Number: p.number, At: p.now, Record: p.record, Actions: own, Differences: counted, Picks: p.picks, Names: p.names, Balancer: p.balancer})
	}
	p.differences, p.picks = nil, nil
}

// addToDigest takes the event's decisions into the digest: the orders, and what the
// module would have ordered where it was kept in step.
func (p *player) addToDigest(own []*pb.Action) {
	b := binary.LittleEndian.AppendUint64(p.buf[:0], p.number)
	b = append(b, byte(p.record.Kind), byte(len(own)))
	for _, a := range own {
		b = append(b, byte(a.Kind))
		b = binary.LittleEndian.AppendUint32(b, a.Request)
		b = binary.LittleEndian.AppendUint32(b, a.Worker)
		b = binary.LittleEndian.AppendUint64(b, uint64(a.AtUs))
		b = binary.LittleEndian.AppendUint32(b, a.Attempt)
		b = binary.LittleEndian.AppendUint64(b, a.Token)
		b = append(b, a.Body...)
	}
	for _, d := range p.differences {
		b = append(append(b, d.Kind...), d.Own...)
	}
	p.buf = b
	p.digestHash.Write(b)
}

func (p *player) addDifference(kind string, request, worker uint32, own, recorded string, pick *Pick) {
	d := &Difference{Number: p.number, At: p.now, Kind: kind, Event: p.names.DescribeEvent(p.record), Own: own, Recorded: recorded, Pick: pick}
	if request != 0 || kind != KindState && kind != KindHealthCheck && kind != KindDiscovery {
		d.Request, d.Class = p.names.Request(request), p.names.Class(request)
	}
	if worker != 0 {
		d.Replica = p.names.Replica(worker)
	}
	p.differences = append(p.differences, d)
}

// recordedDispatch finds the dispatch of a request that the record has and no decision
// of this event has used up.
func (p *player) recordedDispatch(id balancer.RequestID) int {
	for i, a := range p.record.Actions {
		if a.Kind == pb.Action_DISPATCH && a.Request == uint32(id) && !p.usedActions[i] {
			return i
		}
	}
	return -1
}

// The judge: it keeps the module in step with the record.

func (p *player) Admit(id balancer.RequestID, own bool) bool {
	p.result.Decisions++
	if !own && p.recordedDispatch(id) >= 0 {
		p.addDifference(KindAdmit, uint32(id), 0, "turned away", "let in", nil)
		return true
	}
	return own // turned away in the record: the pick finds no dispatch
}

func (p *player) Retry(id balancer.RequestID, own bool) bool {
	p.result.Decisions++
	if !own && p.recordedDispatch(id) >= 0 {
		p.addDifference(KindRetry, uint32(id), 0, "no further attempt", "a further attempt", nil)
		return true
	}
	return own
}

func (p *player) Pick(id balancer.RequestID, own balancer.ReplicaID, any bool, weighed []balancer.ScoreBreakdown) (balancer.ReplicaID, bool) {
	p.result.Decisions++
	explain := p.options.Explain != nil && p.options.Explain(p.names, p.record)
	var kept *Pick
	keep := func() *Pick {
		if kept == nil {
			kept = p.newPick(id, own, any, weighed)
		}
		return kept
	}
	if explain {
		p.picks = append(p.picks, *keep())
	}
	i := p.recordedDispatch(id)
	if i < 0 && !any {
		return 0, false
	}
	word := func(id balancer.ReplicaID, any bool) string {
		if !any {
			return "no worker"
		}
		return p.names.Replica(uint32(id))
	}
	if i < 0 {
		p.addDifference(KindPick, uint32(id), 0, word(own, true), word(0, false), p.keepFirstPick(keep))
		return 0, false
	}
	p.usedActions[i] = true
	to := balancer.ReplicaID(p.record.Actions[i].Worker)
	if !any || own != to {
		p.addDifference(KindPick, uint32(id), uint32(to), word(own, any), word(to, true), p.keepFirstPick(keep))
	}
	return to, true
}

// keepFirstPick keeps the terms of the first pick that differs, and only of that.
func (p *player) keepFirstPick(keep func() *Pick) *Pick {
	if p.pickKept {
		return nil
	}
	p.pickKept = true
	return keep()
}

func (p *player) newPick(id balancer.RequestID, own balancer.ReplicaID, any bool, weighed []balancer.ScoreBreakdown) *Pick {
	k := &Pick{Request: id, Chosen: own, Found: any, Scores: append([]balancer.ScoreBreakdown(nil), weighed...)}
	in := map[balancer.ReplicaID]bool{}
	for _, t := range weighed {
		in[t.Replica] = true
	}
	for _, m := range p.balancer.Endpoints() {
		if !in[m.Replica] {
			k.Excluded = append(k.Excluded, Excluded{m.Replica, p.balancer.ExclusionReason(p.now, id, m.Replica)})
		}
	}
	return k
}

// compareActions tells what of the orders differs once the module is in step.
func (p *player) compareActions(own, want []*pb.Action) {
	for i, j := 0, 0; i < len(own) || j < len(want); {
		switch {
		case i < len(own) && j < len(want) && own[i].Kind == want[j].Kind:
			if !sameAction(own[i], want[j]) {
				p.addActionDifference(own[i], want[j])
			}
			i, j = i+1, j+1
		case j == len(want) || i < len(own) && indexOfKind(want[j:], own[i].Kind) < 0:
			p.addActionDifference(own[i], nil)
			i++
		default:
			p.addActionDifference(nil, want[j])
			j++
		}
	}
}

func indexOfKind(list []*pb.Action, k pb.Action_Kind) int {
	for i, a := range list {
		if a.Kind == k {
			return i
		}
	}
	return -1
}

func sameAction(a, b *pb.Action) bool {
	return a.Kind == b.Kind && a.Request == b.Request && a.Worker == b.Worker && a.AtUs == b.AtUs && a.Attempt == b.Attempt &&
		a.Token == b.Token && bytes.Equal(a.Body, b.Body)
}

func (p *player) addActionDifference(own, want *pb.Action) {
	any, ownText, wantText := own, "nothing", "nothing"
	if own != nil {
		ownText = p.names.DescribeAction(own)
	}
	if want != nil {
		any, wantText = want, p.names.DescribeAction(want)
	}
	kind := map[pb.Action_Kind]string{pb.Action_DISPATCH: KindPick, pb.Action_REFUSE: KindAnswer, pb.Action_FAIL: KindAnswer,
		pb.Action_CANCEL: KindCancel, pb.Action_SET_TIMER: KindTimer, pb.Action_PROBE: KindHealthCheck}[any.Kind]
	switch {
	case kind == "":
		kind = KindDiscovery
	case own != nil && want != nil && own.Request == want.Request && any.Kind == pb.Action_REFUSE:
		kind = KindRetryAfter
	case own != nil && want != nil && own.Worker == want.Worker && any.Kind == pb.Action_DISPATCH:
		kind = KindCutoff
	}
	for _, d := range p.differences { // told as a decision already
		if kind == KindPick && (d.Kind == KindPick || d.Kind == KindAdmit || d.Kind == KindRetry) {
			return
		}
	}
	request := any.Request
	if any.Kind == pb.Action_SET_TIMER {
		_, id := balancer.TimerPurpose(any.Token)
		request = uint32(id)
	}
	p.addDifference(kind, request, any.Worker, ownText, wantText, nil)
}

// The module's orders: choice.Sink.

func (p *player) addAction(kind pb.Action_Kind, id balancer.RequestID, to balancer.ReplicaID, at balancer.Micros) *pb.Action {
	if p.ownCount == len(p.ownActions) {
		p.ownActions = append(p.ownActions, &pb.Action{})
	}
	a := p.ownActions[p.ownCount]
	p.ownCount++
	a.Kind, a.Request, a.Worker, a.AtUs, a.Attempt, a.Token, a.Body = kind, uint32(id), uint32(to), at, 0, 0, nil
	return a
}

func (p *player) Dispatch(id balancer.RequestID, to balancer.ReplicaID, cutAt balancer.Micros) {
	p.addAction(pb.Action_DISPATCH, id, to, cutAt)
}
func (p *player) Shed(id balancer.RequestID, after balancer.Micros) {
	p.addAction(pb.Action_REFUSE, id, 0, after)
}
func (p *player) Fail(id balancer.RequestID) { p.addAction(pb.Action_FAIL, id, 0, 0) }
func (p *player) Cancel(id balancer.RequestID, n int) {
	p.addAction(pb.Action_CANCEL, id, 0, 0).Attempt = uint32(n)
}
func (p *player) SetTimer(delay balancer.Micros, token uint64) {
	p.addAction(pb.Action_SET_TIMER, 0, 0, delay).Token = token
}
func (p *player) HealthCheck(to balancer.ReplicaID) { p.addAction(pb.Action_PROBE, 0, to, 0) }
func (p *player) Gossip(body []byte)                { p.addAction(pb.Action_TELL_PEERS, 0, 0, 0).Body = body }
func (p *player) WatchDiscovery()                   { p.addAction(pb.Action_WATCH_REGISTRY, 0, 0, 0) }

// describeStateDifference names the first field in which two states differ.
func describeStateDifference(own, recorded []byte) string {
	var a, b pb.State
	if err := errors.Join(proto.Unmarshal(own, &a), proto.Unmarshal(recorded, &b)); err != nil {
		return err.Error()
	}
	if at := firstDifference(a.ProtoReflect(), b.ProtoReflect()); at != "" {
		return "the state differs at " + at
	}
	return "the states differ"
}

// describeLedgerDifference names the first field in which the books of two checkpoints differ.
func describeLedgerDifference(own, recorded []byte) string {
	var a, b contractpb.Book
	if err := errors.Join(proto.Unmarshal(own, &a), proto.Unmarshal(recorded, &b)); err != nil {
		return err.Error()
	}
	if at := firstDifference(a.ProtoReflect(), b.ProtoReflect()); at != "" {
		return "the book differs at " + at
	}
	return "the books differ"
}

func firstDifference(a, b protoreflect.Message) string {
	fields := a.Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		x, y := a.Get(f), b.Get(f)
		if x.Equal(y) {
			continue
		}
		switch {
		case f.IsList():
			if x.List().Len() != y.List().Len() {
				return fmt.Sprintf("%s: %d entries, recorded %d", f.Name(), x.List().Len(), y.List().Len())
			}
			for j := range x.List().Len() {
				if f.Message() == nil {
					if !x.List().Get(j).Equal(y.List().Get(j)) {
						return fmt.Sprintf("%s[%d]: %v, recorded %v", f.Name(), j, x.List().Get(j), y.List().Get(j))
					}
					continue
				}
				if at := firstDifference(x.List().Get(j).Message(), y.List().Get(j).Message()); at != "" {
					return fmt.Sprintf("%s[%d].%s", f.Name(), j, at)
				}
			}
		case f.Message() != nil:
			if at := firstDifference(x.Message(), y.Message()); at != "" {
				return string(f.Name()) + "." + at
			}
		default:
			return fmt.Sprintf("%s: %v, recorded %v", f.Name(), x, y)
		}
	}
	return ""
}

// FormatTable tells how workers were weighed, the least score first.
func (k *Pick) FormatTable(n *Names) string {
	var b strings.Builder
	fmt.Fprintf(&b, "  %-16s %12s %9s %9s %9s %9s %9s %9s %6s %8s %8s %8s %6s\n", "worker", "score", "reported", "unseen", "peers",
		"own", "noise", "fresh", "slow", "hold", "prompt", "kept", "guard")
	for _, t := range sortedByScore(k.Scores) {
		mark := ""
		if k.Found && t.Replica == k.Chosen {
			mark = " <- chosen"
		}
		if t.ServedSession {
			mark += " (had the session)"
		}
		if t.HomeReplica {
			mark += " (home)"
		}
		fmt.Fprintf(&b, "  %-16s %12.1f %9.1f %9.1f %9.1f %9.1f %9.1f %9.4f %6.2f %8.1f %8.0f %8.1f %6.3f%s\n", n.Replica(uint32(t.Replica)), t.Score,
			t.Reported, t.Unreported, t.PeerLoad, t.LedgerLoad, t.Noise, t.ReportWeight, t.Slowness, t.RequestTokens, t.PromptTokens, t.CachedTokens, t.Penalty, mark)
	}
	for _, e := range k.Excluded {
		fmt.Fprintf(&b, "  %-16s not weighed: %s\n", n.Replica(uint32(e.Replica)), e.Reason)
	}
	return b.String()
}
