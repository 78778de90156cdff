package takeover

import "testing"

// A process that dies may take a dial for a moment still: the one dial that proved
// nothing is not the last, or the claim would end without a proof.
func TestHolderIsProbedUntilProvenDead(t *testing.T) {
	holder, asks := Member{"h", 1}, Member{"a", 1}
	k := New(Member{"k", 1}, Settings{Permits: 2, ReplyTimeout: 100, RecordTTL: 1000, MaxRecords: 10, MaxRecordsPerHolder: 10})
	keepers := []Member{{"k", 1}}
	k.Receive(0, holder, Message{Kind: MsgReplicate, ToIncarnation: 1, RequestID: "r", Holder: holder, Epoch: 1, Policy: RetryPolicy{Idempotent: true}, TimeLeft: 500, Backups: keepers, Initial: true})
	k.Receive(1, asks, Message{Kind: MsgClaim, ToIncarnation: 1, RequestID: "r", QueryID: 1, NextResumeSeq: 1, Holder: holder, Epoch: 1})
	probes := func() (n int) {
		for _, o := range k.Outputs() {
			if o.Action == ActionProbe && o.To == holder {
				n++
			}
		}
		return n
	}
	if probes() != 1 {
		t.Fatal("the holder is not probed")
	}
	k.Tick(10)
	if probes() != 0 {
		t.Error("probed again at once")
	}
	k.Tick(40)
	if probes() != 1 {
		t.Fatal("not probed again")
	}
	k.ConfirmDead(41, holder)
	for _, o := range k.Outputs() {
		if o.Action == ActionSend && o.Message.Kind == MsgClaimReply && o.Message.OK && o.To == asks {
			return
		}
	}
	t.Error("not granted with the proof")
}

// Where there is no room the newest record is turned away: what an old one has given
// away is not forgotten.
func TestRecordLimits(t *testing.T) {
	k := New(Member{"k", 1}, Settings{Permits: 2, ReplyTimeout: 100, RecordTTL: 3_000_000, MaxRecords: 3, MaxRecordsPerHolder: 2})
	note := func(now Micros, holder, id string) {
		h := Member{holder, 1}
		k.Receive(now, h, Message{Kind: MsgReplicate, ToIncarnation: 1, RequestID: id, Holder: h, Epoch: 1, Backups: []Member{{"k", 1}}, Initial: true})
	}
	note(0, "x", "1")
	note(0, "x", "2")
	note(0, "x", "3") // over its holder's part
	note(0, "y", "4")
	note(0, "y", "5") // over all
	if n, refused := k.RecordCounts(); n != 3 || refused != 2 {
		t.Errorf("%d kept, %d turned away", n, refused)
	}
	k.Tick(4_000_000) // they have had their time
	if n, _ := k.RecordCounts(); n != 0 || len(k.recordsByHolder) != 0 {
		t.Errorf("%d kept, %v", n, k.recordsByHolder)
	}
}
