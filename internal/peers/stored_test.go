package peers

import (
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"

	"archknot/internal/membership"
	"archknot/internal/takeover"
)

// Guards against an incompatible change of the wire format: a datagram encoded by the build of
// commit b3142ba is decoded with all its fields. Kinds, states and reasons are compared as the
// numbers of the wire format.
func TestStoredDatagram(t *testing.T) {
	text, err := os.ReadFile("testdata/stored/datagram.pb")
	if err != nil {
		t.Fatal(err)
	}
	got, err := decodeDatagram(text)
	if err != nil {
		t.Fatal(err)
	}
	member := func(name string, incarnation uint64) takeover.Member {
		return takeover.Member{Name: name, Incarnation: incarnation}
	}
	const id = "9b1f03aa5c7e2d41"
	holder := member("g1", 2)
	want := datagram{
		from: member("g0", 0x1122334455667788),
		gossip: membership.Message{Kind: 1, Seq: 77, Updates: []membership.MemberInfo{
			{Member: member("g1", 2), Addr: "127.0.0.1:7001", Zone: "south", State: 0, Refutations: 3},
			{Member: member("g2", 4), Addr: "127.0.0.1:7002", Zone: "north", State: 1, Refutations: 5},
			{Member: member("g3", 6), State: 2, Refutations: 7},
		}},
		messages: []takeover.Message{
			{Kind: 1, ToIncarnation: 101, RequestID: id, QueryID: 201, Holder: holder, Epoch: 301, ResumeSeq: 11, NextResumeSeq: 12, Policy: takeover.RetryPolicy{Idempotent: true}, TimeLeft: 2500000,
				Backups: []takeover.Member{member("g2", 4), member("g3", 6)}, Initial: true},
			{Kind: 2, ToIncarnation: 102, RequestID: id, QueryID: 202, Holder: holder, Epoch: 302},
			{Kind: 3, ToIncarnation: 103, RequestID: id, QueryID: 203, Holder: holder, Epoch: 303},
			{Kind: 4, ToIncarnation: 104, RequestID: id, QueryID: 204, Holder: holder, Epoch: 304, ResumeSeq: 13, NextResumeSeq: 14, Policy: takeover.RetryPolicy{Hedgeable: true}, Chain: 1,
				ProvenDead: []takeover.Member{member("g4", 8), member("g5", 9)}},
			{Kind: 5, ToIncarnation: 105, RequestID: id, QueryID: 205, Holder: holder, Epoch: 305, OK: true, Reason: 0},
			{Kind: 6, ToIncarnation: 106, RequestID: id, QueryID: 206, Holder: holder, Epoch: 306, Reason: 1},
			{Kind: 7, ToIncarnation: 107, RequestID: id, QueryID: 207, Holder: holder, Epoch: 307, Reason: 2},
			{Kind: 8, ToIncarnation: 108, RequestID: id, QueryID: 208, Holder: holder, Epoch: 308, Reason: 3},
			{Kind: 9, ToIncarnation: 109, RequestID: id, QueryID: 209, Holder: holder, Epoch: 309, MayHaveRun: true, Reason: 4},
			{Kind: 10, ToIncarnation: 110, RequestID: id, QueryID: 210, Holder: holder, Epoch: 310, PermitGranted: true, Chain: 2, Reason: 5},
			{Kind: 11, ToIncarnation: 111, RequestID: id, QueryID: 211, Holder: holder, Epoch: 311, Reason: 6},
			{Kind: 12, ToIncarnation: 112, RequestID: id, QueryID: 212, Holder: holder, Epoch: 312},
			{Kind: 13, ToIncarnation: 113, RequestID: id, QueryID: 213, Holder: holder, Epoch: 313},
			{Kind: 14, ToIncarnation: 114, RequestID: id, QueryID: 214, Holder: holder, Epoch: 314},
		},
	}
	if diff := cmp.Diff(want, got, cmp.AllowUnexported(datagram{})); diff != "" {
		t.Error(diff)
	}
	kinds := map[takeover.MessageKind]uint8{takeover.MsgReplicate: 1, takeover.MsgLookup: 2, takeover.MsgLookupReply: 3, takeover.MsgClaim: 4, takeover.MsgClaimReply: 5, takeover.MsgPermit: 6, takeover.MsgPermitReply: 7,
		takeover.MsgRelease: 8, takeover.MsgReleaseReply: 9, takeover.MsgUpdate: 10, takeover.MsgUpdateReply: 11, takeover.MsgLeaseCheck: 12, takeover.MsgLeaseCheckReply: 13, takeover.MsgPermitReturn: 14}
	for kind, number := range kinds {
		if uint8(kind) != number {
			t.Errorf("kind %d, expected %d", kind, number)
		}
	}
	if membership.MsgPing != 1 || membership.MsgAck != 2 || membership.MsgJoin != 3 || membership.MsgGossip != 4 {
		t.Error("the kinds of gossip have other numbers")
	}
	if membership.Alive != 0 || membership.Suspect != 1 || membership.Unreachable != 2 || membership.Left != 3 || membership.Dead != 4 {
		t.Error("the states of a member have other numbers")
	}
	for number, name := range []string{"none", "unknown", "taken", "spent", "no_proof", "may_have_run", "superseded"} {
		if got := takeover.Reason(number).String(); got != name {
			t.Errorf("reason %d is %q, expected %q", number, got, name)
		}
	}
}
