package takeover

import "testing"

// A process that dies may take a dial for a moment still: the one dial that proved
// nothing is not the last, or the claim would end without a proof.
func TestDeathIsProbedAgain(t *testing.T) {
	holder, asks := Member{"h", 1}, Member{"a", 1}
	k := New(Member{"k", 1}, Settings{Permits: 2, Silence: 100, Remember: 1000, Most: 10, MostEach: 10})
	keepers := []Member{{"k", 1}}
	k.Recv(0, holder, Message{Kind: Keep, To: 1, ID: "r", Holder: holder, Epoch: 1, Terms: Terms{Repeat: true}, Left: 500, Keepers: keepers, Fresh: true})
	k.Recv(1, asks, Message{Kind: Claim, To: 1, ID: "r", Op: 1, Next: 1, Holder: holder, Epoch: 1})
	probes := func() (n int) {
		for _, o := range k.Outputs() {
			if o.Do == Probe && o.To == holder {
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
	k.Dead(41, holder)
	for _, o := range k.Outputs() {
		if o.Do == Send && o.Msg.Kind == Granted && o.Msg.OK && o.To == asks {
			return
		}
	}
	t.Error("not granted with the proof")
}

// Where there is no room the newest record is turned away: what an old one has given
// away is not forgotten.
func TestRoomForRecords(t *testing.T) {
	k := New(Member{"k", 1}, Settings{Permits: 2, Silence: 100, Remember: 3_000_000, Most: 3, MostEach: 2})
	note := func(now Micros, holder, id string) {
		h := Member{holder, 1}
		k.Recv(now, h, Message{Kind: Keep, To: 1, ID: id, Holder: h, Epoch: 1, Keepers: []Member{{"k", 1}}, Fresh: true})
	}
	note(0, "x", "1")
	note(0, "x", "2")
	note(0, "x", "3") // over its holder's part
	note(0, "y", "4")
	note(0, "y", "5") // over all
	if n, refused := k.Kept(); n != 3 || refused != 2 {
		t.Errorf("%d kept, %d turned away", n, refused)
	}
	k.Tick(4_000_000) // they have had their time
	if n, _ := k.Kept(); n != 0 || len(k.each) != 0 {
		t.Errorf("%d kept, %v", n, k.each)
	}
}
