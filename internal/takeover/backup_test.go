package takeover

import "testing"

// Guards against a claim that ends without a proof of death because the first probe proved nothing:
// a terminating process may still accept a connection. The probe has to be repeated.
func TestHolderIsProbedUntilProvenDead(t *testing.T) {
	holder, claimant := Member{"h", 1}, Member{"a", 1}
	backup := New(Member{"k", 1}, Settings{Permits: 2, ReplyTimeout: 100, RecordTTL: 1000, MaxRecords: 10, MaxRecordsPerHolder: 10})
	backups := []Member{{"k", 1}}
	backup.Receive(0, holder, Message{Kind: MsgReplicate, ToIncarnation: 1, RequestID: "r", Holder: holder, Epoch: 1,
		Policy: RetryPolicy{Idempotent: true}, TimeLeft: 500, Backups: backups, Initial: true})
	backup.Receive(1, claimant, Message{Kind: MsgClaim, ToIncarnation: 1, RequestID: "r", QueryID: 1, NextResumeSeq: 1, Holder: holder, Epoch: 1})
	probes := func() (n int) {
		for _, o := range backup.Outputs() {
			if o.Action == ActionProbe && o.To == holder {
				n++
			}
		}
		return n
	}
	if probes() != 1 {
		t.Fatal("the holder is not probed")
	}
	backup.Tick(10)
	if probes() != 0 {
		t.Error("holder probed again before a retransmission is due")
	}
	backup.Tick(40)
	if probes() != 1 {
		t.Fatal("holder not probed again when a retransmission is due")
	}
	backup.ConfirmDead(41, holder)
	for _, o := range backup.Outputs() {
		if o.Action == ActionSend && o.Message.Kind == MsgClaimReply && o.Message.OK && o.To == claimant {
			return
		}
	}
	t.Error("claim not granted after the proof of death")
}

// Over the limits the newest record is rejected, so that the grant of no permit is lost.
func TestRecordLimits(t *testing.T) {
	backup := New(Member{"k", 1}, Settings{Permits: 2, ReplyTimeout: 100, RecordTTL: 3_000_000, MaxRecords: 3, MaxRecordsPerHolder: 2})
	replicate := func(now Micros, holderName, id string) {
		holder := Member{holderName, 1}
		backup.Receive(now, holder, Message{Kind: MsgReplicate, ToIncarnation: 1, RequestID: id, Holder: holder, Epoch: 1, Backups: []Member{{"k", 1}}, Initial: true})
	}
	replicate(0, "x", "1")
	replicate(0, "x", "2")
	replicate(0, "x", "3") // over the limit for one holder
	replicate(0, "y", "4")
	replicate(0, "y", "5") // over the limit in all
	if records, rejected := backup.RecordCounts(); records != 3 || rejected != 2 {
		t.Errorf("%d records, %d rejected", records, rejected)
	}
	backup.Tick(4_000_000) // past RecordTTL
	if records, _ := backup.RecordCounts(); records != 0 || len(backup.recordsByHolder) != 0 {
		t.Errorf("%d records, %v", records, backup.recordsByHolder)
	}
}

// Guards against a backup that receives the update of a decision before the record itself, and then
// replies that the request's deadline has passed.
func TestUpdateBeforeRecordCarriesTimeLeft(t *testing.T) {
	settings := Settings{Permits: 1, ReplyTimeout: 100, RecordTTL: 1000, MaxRecords: 10, MaxRecordsPerHolder: 10}
	holder, claimant, first, second := Member{"h", 1}, Member{"a", 1}, Member{"k", 1}, Member{"l", 1}
	headNode, secondNode := New(first, settings), New(second, settings)
	headNode.Receive(0, holder, Message{Kind: MsgReplicate, ToIncarnation: 1, RequestID: "r", Holder: holder, Epoch: 1,
		Policy: RetryPolicy{Idempotent: true}, TimeLeft: 500, Backups: []Member{first, second}, Initial: true})
	headNode.ConfirmDead(1, holder)
	headNode.Receive(100, claimant, Message{Kind: MsgClaim, ToIncarnation: 1, RequestID: "r", QueryID: 1, NextResumeSeq: 1, Holder: holder, Epoch: 1})
	updateSent := false
	for _, o := range headNode.Outputs() {
		if o.Action == ActionSend && o.To == second && o.Message.Kind == MsgUpdate {
			updateSent = true
			secondNode.Receive(110, first, o.Message)
		}
	}
	if !updateSent {
		t.Fatal("no update sent to the second backup")
	}
	if record := secondNode.records["r"]; record == nil || record.deadline != 510 {
		t.Errorf("the second backup has record %+v, expected deadline 510: the update was received at 110 with 400 left", record)
	}
}
