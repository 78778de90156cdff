package peers

import (
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"

	"archknot/internal/membership"
	"archknot/internal/takeover"
)

// A datagram written by the build of commit b3142ba is read with all its fields. Kinds,
// states and reasons stand as the numbers that go over the wire.
func TestStoredDatagram(t *testing.T) {
	text, err := os.ReadFile("testdata/stored/datagram.pb")
	if err != nil {
		t.Fatal(err)
	}
	got, err := decode(text)
	if err != nil {
		t.Fatal(err)
	}
	member := func(name string, incarnation uint64) takeover.Member {
		return takeover.Member{Name: name, Life: incarnation}
	}
	const id = "9b1f03aa5c7e2d41"
	holder := member("g1", 2)
	want := datagram{
		from: member("g0", 0x1122334455667788),
		gossip: membership.Message{Kind: 1, Seq: 77, News: []membership.Info{
			{Member: member("g1", 2), Addr: "127.0.0.1:7001", Site: "south", State: 0, Round: 3},
			{Member: member("g2", 4), Addr: "127.0.0.1:7002", Site: "north", State: 1, Round: 5},
			{Member: member("g3", 6), State: 2, Round: 7},
		}},
		words: []takeover.Message{
			{Kind: 1, To: 101, ID: id, Op: 201, Holder: holder, Epoch: 301, Ask: 11, Next: 12, Terms: takeover.Terms{Repeat: true}, Left: 2500000,
				Keepers: []takeover.Member{member("g2", 4), member("g3", 6)}, Fresh: true},
			{Kind: 2, To: 102, ID: id, Op: 202, Holder: holder, Epoch: 302},
			{Kind: 3, To: 103, ID: id, Op: 203, Holder: holder, Epoch: 303},
			{Kind: 4, To: 104, ID: id, Op: 204, Holder: holder, Epoch: 304, Ask: 13, Next: 14, Terms: takeover.Terms{Beside: true}, Chain: 1,
				Dead: []takeover.Member{member("g4", 8), member("g5", 9)}},
			{Kind: 5, To: 105, ID: id, Op: 205, Holder: holder, Epoch: 305, OK: true, Reason: 0},
			{Kind: 6, To: 106, ID: id, Op: 206, Holder: holder, Epoch: 306, Reason: 1},
			{Kind: 7, To: 107, ID: id, Op: 207, Holder: holder, Epoch: 307, Reason: 2},
			{Kind: 8, To: 108, ID: id, Op: 208, Holder: holder, Epoch: 308, Reason: 3},
			{Kind: 9, To: 109, ID: id, Op: 209, Holder: holder, Epoch: 309, Ran: true, Reason: 4},
			{Kind: 10, To: 110, ID: id, Op: 210, Holder: holder, Epoch: 310, Given: true, Chain: 2, Reason: 5},
			{Kind: 11, To: 111, ID: id, Op: 211, Holder: holder, Epoch: 311, Reason: 6},
			{Kind: 12, To: 112, ID: id, Op: 212, Holder: holder, Epoch: 312},
			{Kind: 13, To: 113, ID: id, Op: 213, Holder: holder, Epoch: 313},
			{Kind: 14, To: 114, ID: id, Op: 214, Holder: holder, Epoch: 314},
		},
	}
	if diff := cmp.Diff(want, got, cmp.AllowUnexported(datagram{})); diff != "" {
		t.Error(diff)
	}
	kinds := map[takeover.Kind]uint8{takeover.Keep: 1, takeover.Find: 2, takeover.Found: 3, takeover.Claim: 4, takeover.Granted: 5, takeover.Want: 6, takeover.Given: 7,
		takeover.Release: 8, takeover.Released: 9, takeover.Mark: 10, takeover.Marked: 11, takeover.Check: 12, takeover.Still: 13, takeover.Return: 14}
	for kind, number := range kinds {
		if uint8(kind) != number {
			t.Errorf("kind %d, expected %d", kind, number)
		}
	}
	if membership.Ping != 1 || membership.Ack != 2 || membership.Join != 3 || membership.Tell != 4 {
		t.Error("the kinds of gossip have other numbers")
	}
	if membership.Alive != 0 || membership.Doubted != 1 || membership.Away != 2 || membership.Left != 3 || membership.Dead != 4 {
		t.Error("the states of a member have other numbers")
	}
	for number, word := range []string{"none", "unknown", "taken", "spent", "no_proof", "may_have_run", "superseded"} {
		if got := takeover.Reason(number).String(); got != word {
			t.Errorf("reason %d is %q, expected %q", number, got, word)
		}
	}
}
