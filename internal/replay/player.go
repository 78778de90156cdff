package replay

import (
	"bytes"
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"archknot/balancer"
	"archknot/internal/capture"
	pb "archknot/internal/capture/capturepb"
)

// player replays one run. It is the balancer.Interceptor and the balancer.Sink of the module.
type player struct {
	run            *capture.Run
	options        *Options
	result         *Result
	names          *Names
	digestHash     *xxhash.Digest
	differenceHash *xxhash.Digest
	buf            []byte

	balancer *balancer.Balancer    // nil before the first checkpoint, and from a gap to the next checkpoint
	ledger   *capture.ReplayLedger // of the contracts

	// The current event.
	now         balancer.Micros
	number      uint64
	record      *pb.Record
	usedActions []bool // by index in record.Actions: matched by a decision of this build
	ownActions  []*pb.Action
	ownCount    int // number of ownActions in use; the others are free for reuse
	differences []*Difference
	picks       []Pick

	diverged          bool // a decision has differed since the last checkpoint
	firstPickReported bool // a differing pick has been reported with its scores
}

func newPlayer(run *capture.Run, o *Options) *player {
	return &player{
		run:            run,
		options:        o,
		result:         &Result{ByKind: map[string]uint64{}, ByClass: map[string]uint64{}, ByReplica: map[string]uint64{}},
		names:          NewNames(),
		digestHash:     xxhash.New(),
		differenceHash: xxhash.New(),
	}
}

// finish completes the result with its digests and returns it.
func (p *player) finish() *Result {
	if p.result.Differing > 0 {
		p.result.Differences = formatDigest(p.differenceHash)
	}
	p.result.Digest = formatDigest(p.digestHash)
	return p.result
}

func formatDigest(h *xxhash.Digest) string { return fmt.Sprintf("%016x", h.Sum64()) }

// playEntry plays a record, or counts a missing part of the capture. The module's state is unknown after a missing part,
// so that events are skipped until the next checkpoint.
func (p *player) playEntry(e capture.Entry) error {
	if e.Missing != nil {
		p.result.Gaps++
		p.result.Missing += e.Missing.Events
		p.balancer = nil
		return nil
	}
	p.now, p.number, p.record = e.At, e.Number, e.Record
	p.names.AddRecord(e.Record)
	switch e.Record.Kind {
	case pb.Kind_KIND_CHECKPOINT:
		return p.compareCheckpoint(e.Record.Checkpoint)
	case pb.Kind_KIND_GAP:
		if p.balancer != nil { // otherwise the reader reported the gap in the event numbers as missing
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

// compareCheckpoint compares the states of the module and the ledger with the recorded ones, and reports a difference
// unless a decision has differed since the previous checkpoint. It restores the recorded states if one differs, if there
// is no module yet, or with RestartAtCheckpoints.
func (p *player) compareCheckpoint(c *pb.Checkpoint) error {
	p.result.Checkpoints++
	if p.options.Progress != nil {
		p.options.Progress(p.now)
	}
	if p.balancer != nil {
		state, ledgerState := p.balancer.Snapshot(), p.ledger.Snapshot()
		sameState, sameLedgerState := bytes.Equal(state, c.State), bytes.Equal(ledgerState, c.Book)
		if sameState && sameLedgerState && !p.options.RestartAtCheckpoints {
			p.diverged = false
			return nil
		}
		if !p.diverged && !sameState {
			p.addDifference(KindState, 0, 0, describeStateDifference(state, c.State), "", nil)
			p.finishEvent(nil, false)
		}
		if !p.diverged && !sameLedgerState {
			p.addDifference(KindContract, 0, 0, describeLedgerDifference(ledgerState, c.Book), "", nil)
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

// playLedgerEvent repeats a recorded call to the ledger and compares its decision.
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

// playEvent repeats a recorded call to the module and compares its actions.
func (p *player) playEvent() error {
	p.ownCount = 0
	p.usedActions = append(p.usedActions[:0], make([]bool, len(p.record.Actions))...)
	if err := capture.Apply(p.balancer, p.now, p.record); err != nil {
		return err
	}
	own := p.ownActions[:p.ownCount]
	p.compareActions(own, p.record.Actions)
	p.result.Events++
	p.result.Actions += uint64(len(own))
	p.addToDigest(own)
	p.finishEvent(own, true)
	return nil
}

// finishEvent counts and reports the differences of an event, and passes the event to OnStep if it is a step.
func (p *player) finishEvent(own []*pb.Action, isStep bool) {
	counted := p.differences
	if len(counted) > 0 {
		p.diverged = true
		if f := p.options.Where; f != nil && !f.Match(p.names, p.record, p.now-p.run.Begin()) {
			counted = nil
		}
	}
	for _, d := range counted {
		p.countDifference(d)
	}
	if p.options.OnStep != nil && isStep {
		p.options.OnStep(&Step{
			Number:      p.number,
			At:          p.now,
			Record:      p.record,
			Actions:     own,
			Differences: counted,
			Picks:       p.picks,
			Names:       p.names,
			Balancer:    p.balancer,
		})
	}
	p.differences, p.picks = nil, nil
}

func (p *player) countDifference(d *Difference) {
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

// addToDigest adds the event's decisions to the digest: the actions, and this build's own decisions where the recorded
// ones replaced them.
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

// addDifference adds a difference to the current event. A replica of 0 means none, and so does a request of 0 where the
// kind is KindState, KindHealthCheck or KindDiscovery.
func (p *player) addDifference(kind string, request, replica uint32, own, recorded string, pick *Pick) {
	d := &Difference{
		Number:   p.number,
		At:       p.now,
		Kind:     kind,
		Event:    p.names.DescribeEvent(p.record),
		Own:      own,
		Recorded: recorded,
		Pick:     pick,
	}
	hasRequest := kind != KindState && kind != KindHealthCheck && kind != KindDiscovery
	if request != 0 || hasRequest {
		d.Request, d.Class = p.names.Request(request), p.names.Class(request)
	}
	if replica != 0 {
		d.Replica = p.names.Replica(replica)
	}
	p.differences = append(p.differences, d)
}
