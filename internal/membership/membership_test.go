package membership

import (
	"fmt"
	"os"
	"strconv"
	"testing"

	"archknot/internal/takeover"
)

// testNetwork is members that talk with a delay of a millisecond, in virtual time.
type testNetwork struct {
	t           *testing.T
	tables      map[string]*Table // by address
	frozen      map[string]bool
	down        map[string]bool
	partitioned func(a, b string) bool
	now         Micros
	queue       []queuedMessage
	packets     int
}

type queuedMessage struct {
	from, to string
	message  Message
}

func newTestNetwork(t *testing.T, n int) *testNetwork {
	w := &testNetwork{t: t, tables: map[string]*Table{}, frozen: map[string]bool{}, down: map[string]bool{}, partitioned: func(a, b string) bool { return false }}
	for i := range n {
		w.start(i, 1)
	}
	return w
}

func testAddr(i int) string { return fmt.Sprintf("a%03d", i) }

func (w *testNetwork) start(i int, life uint64) {
	me := MemberInfo{Member: takeover.Member{Name: fmt.Sprintf("g%03d", i), Incarnation: life}, Addr: testAddr(i), Zone: fmt.Sprint(i % 3)}
	w.tables[testAddr(i)] = New(me, []string{testAddr(0), testAddr(1)}, DefaultSettings(), uint64(i+1)*7919)
	delete(w.down, testAddr(i))
}

// run lets time pass in steps of a millisecond.
func (w *testNetwork) run(d Micros) {
	for end := w.now + d; w.now < end; {
		w.now += 1000
		queue := w.queue
		w.queue = nil
		for _, s := range queue {
			t := w.tables[s.to]
			if t == nil || w.down[s.to] || w.partitioned(s.from, s.to) {
				continue
			}
			if w.frozen[s.to] {
				w.queue = append(w.queue, s)
				continue
			}
			w.packets++
			t.Receive(w.now, w.tables[s.from].self.Member, s.message)
		}
		for i := range len(w.tables) {
			if a := testAddr(i); w.now/1000%20 != int64(i%20) && len(w.tables[a].outputs) == 0 {
				continue // it looks at its clock every 20 ms, at its mail at once
			}
			a := testAddr(i)
			if t := w.tables[a]; !w.down[a] && !w.frozen[a] {
				t.Tick(w.now)
				for _, o := range t.Outputs() {
					if p := o.Probe; p == nil {
						w.queue = append(w.queue, queuedMessage{a, o.To, o.Message})
					} else if other := w.tables[p.Addr]; w.down[p.Addr] || other.self.Incarnation != p.Incarnation {
						t.ConfirmDead(w.now, p.Member)
					} else if !w.frozen[p.Addr] && !w.partitioned(a, p.Addr) {
						t.ConfirmAlive(w.now, p.Member)
					}
				}
			}
		}
	}
}

// countState is how many of those that run believe so of a member.
func (w *testNetwork) countState(name string, s State) (n int) {
	for a, t := range w.tables {
		if m, ok := t.Member(name); ok && !w.down[a] && m.State == s {
			n++
		}
	}
	return n
}

// A hundred find each other; three in ten of them die at once and all know it
// within seconds; those that start again are back. MEMBERS=300 does it with more.
func TestMassDeath(t *testing.T) {
	n := 100
	if v, err := strconv.Atoi(os.Getenv("MEMBERS")); err == nil {
		n = v
	}
	few := n * 3 / 10
	w := newTestNetwork(t, n)
	w.run(12_000_000)
	for i := range n {
		if got := len(w.tables[testAddr(i)].Members()); got != n-1 {
			t.Fatalf("%s knows %d", testAddr(i), got)
		}
	}
	for i := 10; i < 10+few; i++ {
		w.down[testAddr(i)] = true
	}
	before := w.packets
	known := -1
	for s := 1; s <= 20 && known < 0; s++ {
		w.run(500_000)
		all := true
		for i := 10; i < 10+few; i++ {
			all = all && w.countState(fmt.Sprintf("g%03d", i), Dead) == n-few
		}
		if all {
			known = s * 500
		}
	}
	t.Logf("%d of %d dead: all knew of all after %d ms, %.1f messages a member and second", few, n, known, float64(w.packets-before)/float64(n-few)/(float64(known)/1000))
	if known < 0 {
		t.Error("some did not hear of the dead in 10 s")
	}
	for i := 10; i < 10+few; i++ {
		w.start(i, 2)
	}
	w.run(12_000_000)
	for i := 10; i < 10+few; i++ {
		if got := w.countState(fmt.Sprintf("g%03d", i), Alive); got != n {
			t.Fatalf("g%03d is alive to %d of %d", i, got, n)
		}
	}
}

// A frozen member is never dead: doubted, away, and back with its first answer.
func TestFrozenMemberIsNotDead(t *testing.T) {
	w := newTestNetwork(t, 30)
	w.run(5_000_000)
	w.frozen[testAddr(7)] = true
	w.run(10_000_000)
	if n := w.countState("g007", Dead); n > 0 {
		t.Errorf("dead to %d", n)
	}
	if n := w.countState("g007", Unreachable); n < 25 {
		t.Errorf("away to %d only", n)
	}
	delete(w.frozen, testAddr(7))
	w.run(5_000_000)
	if n := w.countState("g007", Alive); n != 30 {
		t.Errorf("alive to %d of 30", n)
	}
}

// Two halves that were cut off from each other find together again.
func TestPartitionHeals(t *testing.T) {
	w := newTestNetwork(t, 20)
	w.run(5_000_000)
	w.partitioned = func(a, b string) bool { return (a < testAddr(10)) != (b < testAddr(10)) }
	w.run(15_000_000)
	if n := w.countState("g015", Dead); n > 0 {
		t.Errorf("dead to %d", n)
	}
	w.partitioned = func(a, b string) bool { return false }
	w.run(15_000_000)
	for i := range 20 {
		if n := w.countState(fmt.Sprintf("g%03d", i), Alive); n != 20 {
			t.Errorf("g%03d is alive to %d of 20", i, n)
		}
	}
}

// What is known stays within its bound.
func TestMemberLimit(t *testing.T) {
	s := DefaultSettings()
	s.MaxMembers = 10
	v := New(MemberInfo{Member: takeover.Member{Name: "me"}}, nil, s, 1)
	for i := range 100 {
		v.Merge(0, []MemberInfo{{Member: takeover.Member{Name: fmt.Sprint(i)}}})
	}
	if len(v.Members()) != 10 || v.Rejected() != 90 {
		t.Errorf("%d known, %d refused", len(v.Members()), v.Rejected())
	}
}
