package balancer

import "testing"

// A stored list is used for as long as its date allows, which may be before the Balancer's start.
func TestStoredListIsDated(t *testing.T) {
	s := largeFleetSettings()
	s.WatchInterval, s.DrainGrace = second, 2_500_000
	b, err := New(s, 7, &recorder{})
	if err != nil {
		t.Fatal(err)
	}
	b.Start(100 * second)
	age := s.StoredListAge(true)
	b.ListChanged(100*second, EndpointList{Kind: ListCached, Endpoints: fleet(2), AsOf: 100*second - age})
	// Changes count as known two seconds after the start, and the grace ends 2.5 s later.
	if until := b.EntryValidUntil(1); until != 104_200_000 {
		t.Errorf("used until %d", until)
	}
}

// startWithStoredList returns a Balancer that was started with a stored list of four replicas at 100 s. A call to
// discovery that began at 100.1 s has failed with the given kind.
func startWithStoredList(t *testing.T, s Settings, kind ListKind) (*Balancer, *recorder) {
	t.Helper()
	s.WatchInterval, s.DrainGrace = second, 1_500_000
	rec := &recorder{}
	b, err := New(s, 7, rec)
	if err != nil {
		t.Fatal(err)
	}
	b.Start(100 * second)
	b.ListChanged(100*second, EndpointList{Kind: ListCached, Endpoints: fleet(4)})
	b.ListChanged(100*second+second/5, EndpointList{Kind: kind, AsOf: 100*second + second/10})
	return b, rec
}

// While a stored list may lack changes, only a replica that has accepted an attempt, sent while discovery could not be
// reached, gets work after ListValidity. Guards against an outage that makes a stored list current: it says nothing of
// changes of before.
func TestStoredListIsUsedOnlyForAcceptingReplicas(t *testing.T) {
	for _, local := range []bool{true, false} {
		for _, gateways := range []int{3, 80} {
			for kind, serves := range map[ListKind]bool{ListUnreachable: true, ListFailed: false} {
				s := largeFleetSettings()
				s.Gateways, s.LocalDiscovery = gateways, local
				b, rec := startWithStoredList(t, s, kind)
				accepting, _ := dispatchedIfChecksPass(b, rec, 100*second+second/4, 1)
				b.FirstToken(100*second+second/2, Outcome{ID: 1, Replica: accepting, Elapsed: second / 4})
				expired := b.CompleteListValidUntil()
				b.ListChanged(expired-second/2, EndpointList{Kind: kind})
				if to, _ := dispatchedIfChecksPass(b, rec, expired-second/4, 2); to == 0 {
					t.Errorf("local %t, %d gateways: no dispatch before the list expires", local, gateways)
				}
				for id := RequestID(3); id < 10; id++ {
					if to, _ := dispatchedIfChecksPass(b, rec, expired, id); to != 0 && to != accepting || (to != 0) != serves {
						t.Errorf("local %t, %d gateways, list %d: dispatched to %d", local, gateways, kind, to)
					}
				}
				if until := b.EntryValidUntil(accepting); b.EntryValidUntil(accepting%4+1) != expired || (until > expired) != serves {
					t.Errorf("the entry of %d is valid until %d, others until %d", accepting, until, expired)
				}
				b.ListChanged(expired, EndpointList{Kind: ListGap})
				if to, _ := dispatchedIfChecksPass(b, rec, expired, 20); to != 0 {
					t.Errorf("after another gap dispatched to %d", to)
				}
				b.ListChanged(expired, EndpointList{Kind: ListDelta})
				if to, _ := dispatchedIfChecksPass(b, rec, expired, 21); to == 0 {
					t.Error("no dispatch after an answer of discovery")
				}
			}
		}
	}
}

// Guards against a move to another discovery that leaves the list its term of before (issue 74, review/6): what the new
// address has counts as known 4 s after the order, and an agent's list keeps its own, shorter term.
func TestMoveShortensTheListsTerm(t *testing.T) {
	for _, c := range []struct {
		local bool
		until Micros
	}{{local: false, until: 108*second + 200_000}, {local: true, until: 104*second + 200_000}} {
		s := largeFleetSettings()
		s.WatchInterval, s.DrainGrace, s.LocalDiscovery = second, 2_500_000, c.local
		b, err := New(s, 7, &recorder{})
		if err != nil {
			t.Fatal(err)
		}
		b.Start(100 * second)
		b.ListChanged(102*second, EndpointList{Kind: ListFull, Endpoints: fleet(4)})
		b.ListChanged(102*second+second/2, EndpointList{Kind: ListGap, AsOf: 102 * second})
		b.ListChanged(103*second, EndpointList{Kind: ListGap}) // a second move does not prolong the first one's term
		if until := b.EntryValidUntil(1); until != c.until {
			t.Errorf("local %t: used until %d, want %d", c.local, until, c.until)
		}
		b.ListChanged(104*second, EndpointList{Kind: ListDelta})
		if until, want := b.EntryValidUntil(1), 104*second+s.ListValidity(); until != want {
			t.Errorf("local %t: after an answer used until %d, want %d", c.local, until, want)
		}
	}
}
