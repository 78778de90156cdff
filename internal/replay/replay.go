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

	"archknot/choice"
	"archknot/internal/capture"
	pb "archknot/internal/capture/capturepb"
	"archknot/internal/contract/contractpb"
)

// Options of a replay.
type Options struct {
	From, To choice.Micros // on the module's clock; To 0: to the end
	Restart  bool          // begin anew at each checkpoint, from its state
	Where    *Filter       // only differences at events that match count
	Explain  func(*Names, *pb.Record) bool
	OnStep   func(*Step) // after each event
	OnDiffer func(*Difference)
	Progress func(at choice.Micros)
}

// Step is one event, replayed.
type Step struct {
	Number  uint64
	At      choice.Micros
	Record  *pb.Record
	Own     []*pb.Action // what this build ordered, in step with the record; good until the next event
	Differs []*Difference
	Picks   []Pick // where Explain asked for them
	Names   *Names
	Module  *choice.Balancer
}

// Pick is one choice of a worker.
type Pick struct {
	Request  choice.RequestID
	Own      choice.ReplicaID
	Any      bool
	Terms    []choice.ScoreBreakdown
	Excluded []Excluded
}

// Excluded is a worker that was not weighed, and why.
type Excluded struct {
	Worker choice.ReplicaID
	Why    string
}

// Difference is one decision that this build makes otherwise.
type Difference struct {
	Number   uint64        `json:"event"`
	At       choice.Micros `json:"at_us"`
	Kind     string        `json:"kind"` // of the decision: one of Kinds
	Request  string        `json:"request,omitempty"`
	Class    string        `json:"class,omitempty"`
	Worker   string        `json:"worker,omitempty"` // that the record names
	Event    string        `json:"told"`
	Own      string        `json:"own"`
	Recorded string        `json:"recorded"`
	Pick     *Pick         `json:"-"` // for the first difference of a pick
}

// Kinds of differences.
const (
	KindAdmit    = "admit"    // let in or turned away
	KindAgain    = "again"    // a further attempt
	KindPick     = "pick"     // which worker, or none
	KindAnswer   = "answer"   // refused or failed, or not at all
	KindAdvice   = "advice"   // when to come back
	KindTimer    = "timer"    // a timer
	KindCancel   = "cancel"   // calling off an attempt
	KindProbe    = "probe"    // probes
	KindCut      = "cut"      // when an attempt is cut off
	KindRegistry = "registry" // asking the registry, telling peers
	KindContract = "contract" // what a contract allows a request, or its copy
	KindState    = "state"    // the state at a checkpoint, where no decision differed
)

// Result sums a replay up.
type Result struct {
	Events      uint64            `json:"events"`
	Actions     uint64            `json:"actions"`
	Digest      string            `json:"digest"`
	Differ      uint64            `json:"differ"`
	Gaps        uint64            `json:"gaps"`
	Missing     uint64            `json:"missing"` // events that the capture lost
	Skipped     uint64            `json:"skipped"` // events that no checkpoint leads to
	Checkpoints uint64            `json:"checkpoints"`
	ByKind      map[string]uint64 `json:"by_kind,omitempty"`
	ByClass     map[string]uint64 `json:"by_class,omitempty"`
	ByWorker    map[string]uint64 `json:"by_worker,omitempty"`
	Verdicts    uint64            `json:"verdicts"`              // of contracts, compared
	Decisions   uint64            `json:"decisions"`             // picks, admissions and further attempts compared
	Differences string            `json:"differences,omitempty"` // digest of all of them; "" if there are none
}

// Line is the last line of a replay.
func (r *Result) Line() string {
	return fmt.Sprintf("events=%d actions=%d digest=%s differ=%d gaps=%d", r.Events, r.Actions, r.Digest, r.Differ, r.Gaps)
}

// player replays one run.
type player struct {
	run    *capture.Run
	o      *Options
	res    *Result
	names  *Names
	sum    *xxhash.Digest
	b      *choice.Balancer // nil: waiting for a checkpoint
	ledger *capture.Ledger  // the contracts' book beside it

	now     choice.Micros
	number  uint64
	rec     *pb.Record
	taken   []bool // recorded orders that a decision has used up
	own     []*pb.Action
	n       int
	differs []*Difference
	picks   []Pick
	buf     []byte
	diffSum *xxhash.Digest
	adrift  bool // decisions differed since the last checkpoint
	shown   bool // a pick that differed has been kept with its terms
}

// Replay replays a run. The error says that the run cannot be read; differences
// and gaps are in the result.
func Replay(run *capture.Run, o Options) (*Result, error) {
	p := &player{run: run, o: &o, names: NewNames(), sum: xxhash.New(), diffSum: xxhash.New(),
		res: &Result{ByKind: map[string]uint64{}, ByClass: map[string]uint64{}, ByWorker: map[string]uint64{}}}
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
		if err := p.entry(e); err != nil {
			return nil, fmt.Errorf("event %d: %w", e.Number, err)
		}
	}
	if p.res.Differ > 0 {
		p.res.Differences = fmt.Sprintf("%016x", p.diffSum.Sum64())
	}
	p.res.Digest = fmt.Sprintf("%016x", p.sum.Sum64())
	return p.res, nil
}

func (p *player) entry(e capture.Entry) error {
	if e.Missing != nil {
		p.res.Gaps++
		p.res.Missing += e.Missing.Events
		p.b = nil // what it was told after that is not known
		return nil
	}
	p.now, p.number, p.rec = e.At, e.Number, e.Record
	p.names.Note(e.Record)
	switch e.Record.Kind {
	case pb.Kind_KIND_CHECKPOINT:
		return p.checkpoint(e.Record.Checkpoint)
	case pb.Kind_KIND_GAP:
		if p.b != nil { // else the jump of the numbers has told it already
			p.res.Gaps++
			p.res.Missing += e.Record.Gap.GetEvents()
		}
		p.b = nil
		return nil
	}
	if p.b == nil {
		p.res.Skipped++
		return nil
	}
	if capture.OfBook(e.Record.Kind) {
		return p.bookEvent()
	}
	return p.event()
}

// checkpoint compares the module's state with the recorded one, and takes the
// recorded one over where they have come apart.
func (p *player) checkpoint(c *pb.Checkpoint) error {
	p.res.Checkpoints++
	if p.o.Progress != nil {
		p.o.Progress(p.now)
	}
	if p.b != nil {
		own := p.b.Snapshot()
		same, sameBook := bytes.Equal(own, c.State), bytes.Equal(p.ledger.Snapshot(), c.Book)
		if same && sameBook && !p.o.Restart {
			p.adrift = false
			return nil
		}
		if !p.adrift && !same {
			p.differ(KindState, 0, 0, unlike(own, c.State), "", nil)
			p.settle(nil, false)
		}
		if !p.adrift && !sameBook {
			p.differ(KindContract, 0, 0, unlikeBook(p.ledger.Snapshot(), c.Book), "", nil)
			p.settle(nil, false)
		}
	}
	b, _, err := p.run.Restore(c, p)
	if err != nil {
		return err
	}
	if p.ledger, err = capture.RestoreLedger(c); err != nil {
		return err
	}
	b.SetInterceptor(p)
	p.b, p.adrift = b, false
	return nil
}

// bookEvent has the book of contracts do an event again and compares its verdict.
func (p *player) bookEvent() error {
	own, recorded, err := p.ledger.Apply(p.now, p.rec)
	if err != nil {
		return err
	}
	if own != recorded {
		p.differ(KindContract, p.rec.Request, 0, own, recorded, nil)
	}
	if p.rec.Kind == pb.Kind_KIND_CHARGED {
		p.res.Verdicts++
	}
	p.res.Events++
	p.digest(nil)
	p.buf = append(p.buf[:0], own...)
	p.sum.Write(p.buf)
	p.settle(nil, true)
	return nil
}

// event tells the module one event and compares what it orders.
func (p *player) event() error {
	rec := p.rec
	p.n = 0
	p.taken = append(p.taken[:0], make([]bool, len(rec.Actions))...)
	if err := capture.Apply(p.b, p.now, rec); err != nil {
		return err
	}
	own := p.own[:p.n]
	p.compare(own, rec.Actions)
	p.res.Events++
	p.res.Actions += uint64(len(own))
	p.digest(own)
	p.settle(own, true)
	return nil
}

// settle counts the differences of one event and hands it on.
func (p *player) settle(own []*pb.Action, event bool) {
	counted := p.differs
	if len(counted) > 0 {
		p.adrift = true
		if f := p.o.Where; f != nil && !f.Match(p.names, p.rec, p.now-p.run.Begin()) {
			counted = nil
		}
	}
	for _, d := range counted {
		p.res.Differ++
		p.res.ByKind[d.Kind]++
		fmt.Fprintf(p.diffSum, "%d %s %s %s\n", d.Number, d.Kind, d.Own, d.Recorded)
		if d.Class != "" {
			p.res.ByClass[d.Class]++
		}
		if d.Worker != "" {
			p.res.ByWorker[d.Worker]++
		}
		if p.o.OnDiffer != nil {
			p.o.OnDiffer(d)
		}
	}
	if p.o.OnStep != nil && event {
		p.o.OnStep(&Step{Number: p.number, At: p.now, Record: p.rec, Own: own, Differs: counted, Picks: p.picks, Names: p.names, Module: p.b})
	}
	p.differs, p.picks = nil, nil
}

// digest takes the event's decisions into the digest: the orders, and what the
// module would have ordered where it was kept in step.
func (p *player) digest(own []*pb.Action) {
	b := binary.LittleEndian.AppendUint64(p.buf[:0], p.number)
	b = append(b, byte(p.rec.Kind), byte(len(own)))
	for _, a := range own {
		b = append(b, byte(a.Kind))
		b = binary.LittleEndian.AppendUint32(b, a.Request)
		b = binary.LittleEndian.AppendUint32(b, a.Worker)
		b = binary.LittleEndian.AppendUint64(b, uint64(a.AtUs))
		b = binary.LittleEndian.AppendUint32(b, a.Attempt)
		b = binary.LittleEndian.AppendUint64(b, a.Token)
		b = append(b, a.Body...)
	}
	for _, d := range p.differs {
		b = append(append(b, d.Kind...), d.Own...)
	}
	p.buf = b
	p.sum.Write(b)
}

func (p *player) differ(kind string, request, worker uint32, own, recorded string, pick *Pick) {
	d := &Difference{Number: p.number, At: p.now, Kind: kind, Event: p.names.Event(p.rec), Own: own, Recorded: recorded, Pick: pick}
	if request != 0 || kind != KindState && kind != KindProbe && kind != KindRegistry {
		d.Request, d.Class = p.names.Request(request), p.names.Class(request)
	}
	if worker != 0 {
		d.Worker = p.names.Worker(worker)
	}
	p.differs = append(p.differs, d)
}

// recorded finds the dispatch of a request that the record has and no decision
// of this event has used up.
func (p *player) recorded(id choice.RequestID) int {
	for i, a := range p.rec.Actions {
		if a.Kind == pb.Action_DISPATCH && a.Request == uint32(id) && !p.taken[i] {
			return i
		}
	}
	return -1
}

// The judge: it keeps the module in step with the record.

func (p *player) Admit(id choice.RequestID, own bool) bool {
	p.res.Decisions++
	if !own && p.recorded(id) >= 0 {
		p.differ(KindAdmit, uint32(id), 0, "turned away", "let in", nil)
		return true
	}
	return own // turned away in the record: the pick finds no dispatch
}

func (p *player) Retry(id choice.RequestID, own bool) bool {
	p.res.Decisions++
	if !own && p.recorded(id) >= 0 {
		p.differ(KindAgain, uint32(id), 0, "no further attempt", "a further attempt", nil)
		return true
	}
	return own
}

func (p *player) Pick(id choice.RequestID, own choice.ReplicaID, any bool, weighed []choice.ScoreBreakdown) (choice.ReplicaID, bool) {
	p.res.Decisions++
	explain := p.o.Explain != nil && p.o.Explain(p.names, p.rec)
	var kept *Pick
	keep := func() *Pick {
		if kept == nil {
			kept = p.pick(id, own, any, weighed)
		}
		return kept
	}
	if explain {
		p.picks = append(p.picks, *keep())
	}
	i := p.recorded(id)
	if i < 0 && !any {
		return 0, false
	}
	word := func(id choice.ReplicaID, any bool) string {
		if !any {
			return "no worker"
		}
		return p.names.Worker(uint32(id))
	}
	if i < 0 {
		p.differ(KindPick, uint32(id), 0, word(own, true), word(0, false), p.first(keep))
		return 0, false
	}
	p.taken[i] = true
	to := choice.ReplicaID(p.rec.Actions[i].Worker)
	if !any || own != to {
		p.differ(KindPick, uint32(id), uint32(to), word(own, any), word(to, true), p.first(keep))
	}
	return to, true
}

// first keeps the terms of the first pick that differs, and only of that.
func (p *player) first(keep func() *Pick) *Pick {
	if p.shown {
		return nil
	}
	p.shown = true
	return keep()
}

func (p *player) pick(id choice.RequestID, own choice.ReplicaID, any bool, weighed []choice.ScoreBreakdown) *Pick {
	k := &Pick{Request: id, Own: own, Any: any, Terms: append([]choice.ScoreBreakdown(nil), weighed...)}
	in := map[choice.ReplicaID]bool{}
	for _, t := range weighed {
		in[t.Replica] = true
	}
	for _, m := range p.b.Endpoints() {
		if !in[m.Replica] {
			k.Excluded = append(k.Excluded, Excluded{m.Replica, p.b.ExclusionReason(p.now, id, m.Replica)})
		}
	}
	return k
}

// compare tells what of the orders differs once the module is in step.
func (p *player) compare(own, want []*pb.Action) {
	for i, j := 0, 0; i < len(own) || j < len(want); {
		switch {
		case i < len(own) && j < len(want) && own[i].Kind == want[j].Kind:
			if !same(own[i], want[j]) {
				p.unlikeOrder(own[i], want[j])
			}
			i, j = i+1, j+1
		case j == len(want) || i < len(own) && has(want[j:], own[i].Kind) < 0:
			p.unlikeOrder(own[i], nil)
			i++
		default:
			p.unlikeOrder(nil, want[j])
			j++
		}
	}
}

func has(list []*pb.Action, k pb.Action_Kind) int {
	for i, a := range list {
		if a.Kind == k {
			return i
		}
	}
	return -1
}

func same(a, b *pb.Action) bool {
	return a.Kind == b.Kind && a.Request == b.Request && a.Worker == b.Worker && a.AtUs == b.AtUs && a.Attempt == b.Attempt &&
		a.Token == b.Token && bytes.Equal(a.Body, b.Body)
}

func (p *player) unlikeOrder(own, want *pb.Action) {
	any, ownText, wantText := own, "nothing", "nothing"
	if own != nil {
		ownText = p.names.Order(own)
	}
	if want != nil {
		any, wantText = want, p.names.Order(want)
	}
	kind := map[pb.Action_Kind]string{pb.Action_DISPATCH: KindPick, pb.Action_REFUSE: KindAnswer, pb.Action_FAIL: KindAnswer,
		pb.Action_CANCEL: KindCancel, pb.Action_SET_TIMER: KindTimer, pb.Action_PROBE: KindProbe}[any.Kind]
	switch {
	case kind == "":
		kind = KindRegistry
	case own != nil && want != nil && own.Request == want.Request && any.Kind == pb.Action_REFUSE:
		kind = KindAdvice
	case own != nil && want != nil && own.Worker == want.Worker && any.Kind == pb.Action_DISPATCH:
		kind = KindCut
	}
	for _, d := range p.differs { // told as a decision already
		if kind == KindPick && (d.Kind == KindPick || d.Kind == KindAdmit || d.Kind == KindAgain) {
			return
		}
	}
	request := any.Request
	if any.Kind == pb.Action_SET_TIMER {
		_, id := choice.TimerPurpose(any.Token)
		request = uint32(id)
	}
	p.differ(kind, request, any.Worker, ownText, wantText, nil)
}

// The module's orders: choice.Sink.

func (p *player) order(kind pb.Action_Kind, id choice.RequestID, to choice.ReplicaID, at choice.Micros) *pb.Action {
	if p.n == len(p.own) {
		p.own = append(p.own, &pb.Action{})
	}
	a := p.own[p.n]
	p.n++
	a.Kind, a.Request, a.Worker, a.AtUs, a.Attempt, a.Token, a.Body = kind, uint32(id), uint32(to), at, 0, 0, nil
	return a
}

func (p *player) Dispatch(id choice.RequestID, to choice.ReplicaID, cutAt choice.Micros) {
	p.order(pb.Action_DISPATCH, id, to, cutAt)
}
func (p *player) Shed(id choice.RequestID, after choice.Micros) {
	p.order(pb.Action_REFUSE, id, 0, after)
}
func (p *player) Fail(id choice.RequestID) { p.order(pb.Action_FAIL, id, 0, 0) }
func (p *player) Cancel(id choice.RequestID, n int) {
	p.order(pb.Action_CANCEL, id, 0, 0).Attempt = uint32(n)
}
func (p *player) SetTimer(delay choice.Micros, token uint64) {
	p.order(pb.Action_SET_TIMER, 0, 0, delay).Token = token
}
func (p *player) HealthCheck(to choice.ReplicaID) { p.order(pb.Action_PROBE, 0, to, 0) }
func (p *player) Gossip(body []byte)              { p.order(pb.Action_TELL_PEERS, 0, 0, 0).Body = body }
func (p *player) WatchDiscovery()                 { p.order(pb.Action_WATCH_REGISTRY, 0, 0, 0) }

// unlike names the first field in which two states differ.
func unlike(own, recorded []byte) string {
	var a, b pb.State
	if err := errors.Join(proto.Unmarshal(own, &a), proto.Unmarshal(recorded, &b)); err != nil {
		return err.Error()
	}
	if at := firstUnlike(a.ProtoReflect(), b.ProtoReflect()); at != "" {
		return "the state differs at " + at
	}
	return "the states differ"
}

// unlikeBook names the first field in which the books of two checkpoints differ.
func unlikeBook(own, recorded []byte) string {
	var a, b contractpb.Book
	if err := errors.Join(proto.Unmarshal(own, &a), proto.Unmarshal(recorded, &b)); err != nil {
		return err.Error()
	}
	if at := firstUnlike(a.ProtoReflect(), b.ProtoReflect()); at != "" {
		return "the book differs at " + at
	}
	return "the books differ"
}

func firstUnlike(a, b protoreflect.Message) string {
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
				if at := firstUnlike(x.List().Get(j).Message(), y.List().Get(j).Message()); at != "" {
					return fmt.Sprintf("%s[%d].%s", f.Name(), j, at)
				}
			}
		case f.Message() != nil:
			if at := firstUnlike(x.Message(), y.Message()); at != "" {
				return string(f.Name()) + "." + at
			}
		default:
			return fmt.Sprintf("%s: %v, recorded %v", f.Name(), x, y)
		}
	}
	return ""
}

// Table tells how workers were weighed, the least score first.
func (k *Pick) Table(n *Names) string {
	var b strings.Builder
	fmt.Fprintf(&b, "  %-16s %12s %9s %9s %9s %9s %9s %9s %6s %8s %8s %8s %6s\n", "worker", "score", "reported", "unseen", "peers",
		"own", "noise", "fresh", "slow", "hold", "prompt", "kept", "guard")
	for _, t := range sortedTerms(k.Terms) {
		mark := ""
		if k.Any && t.Replica == k.Own {
			mark = " <- chosen"
		}
		if t.ServedSession {
			mark += " (had the session)"
		}
		if t.HomeReplica {
			mark += " (home)"
		}
		fmt.Fprintf(&b, "  %-16s %12.1f %9.1f %9.1f %9.1f %9.1f %9.1f %9.4f %6.2f %8.1f %8.0f %8.1f %6.3f%s\n", n.Worker(uint32(t.Replica)), t.Score,
			t.Reported, t.Unreported, t.PeerLoad, t.LedgerLoad, t.Noise, t.ReportWeight, t.Slowness, t.RequestTokens, t.PromptTokens, t.CachedTokens, t.Penalty, mark)
	}
	for _, e := range k.Excluded {
		fmt.Fprintf(&b, "  %-16s not weighed: %s\n", n.Worker(uint32(e.Worker)), e.Why)
	}
	return b.String()
}
