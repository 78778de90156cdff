package membership

import (
	"fmt"
	"os"
	"strconv"
	"testing"

	"archknot/internal/takeover"
)

// net is members that talk with a delay of a millisecond, in virtual time.
type net struct {
	t       *testing.T
	tables  map[string]*Table // by address
	frozen  map[string]bool
	down    map[string]bool
	cut     func(a, b string) bool
	now     Micros
	queue   []sent
	packets int
}

type sent struct {
	from, to string
	msg      Message
}

func newNet(t *testing.T, n int) *net {
	w := &net{t: t, tables: map[string]*Table{}, frozen: map[string]bool{}, down: map[string]bool{}, cut: func(a, b string) bool { return false }}
	for i := range n {
		w.start(i, 1)
	}
	return w
}

func addr(i int) string { return fmt.Sprintf("a%03d", i) }

func (w *net) start(i int, life uint64) {
	me := Info{Member: takeover.Member{Name: fmt.Sprintf("g%03d", i), Life: life}, Addr: addr(i), Site: fmt.Sprint(i % 3)}
	w.tables[addr(i)] = New(me, []string{addr(0), addr(1)}, DefaultSettings(), uint64(i+1)*7919)
	delete(w.down, addr(i))
}

// run lets time pass in steps of a millisecond.
func (w *net) run(d Micros) {
	for end := w.now + d; w.now < end; {
		w.now += 1000
		queue := w.queue
		w.queue = nil
		for _, s := range queue {
			t := w.tables[s.to]
			if t == nil || w.down[s.to] || w.cut(s.from, s.to) {
				continue
			}
			if w.frozen[s.to] {
				w.queue = append(w.queue, s)
				continue
			}
			w.packets++
			t.Recv(w.now, w.tables[s.from].self.Member, s.msg)
		}
		for i := range len(w.tables) {
			if a := addr(i); w.now/1000%20 != int64(i%20) && len(w.tables[a].out) == 0 {
				continue // it looks at its clock every 20 ms, at its mail at once
			}
			a := addr(i)
			if t := w.tables[a]; !w.down[a] && !w.frozen[a] {
				t.Tick(w.now)
				for _, o := range t.Outputs() {
					if p := o.Probe; p == nil {
						w.queue = append(w.queue, sent{a, o.To, o.Msg})
					} else if other := w.tables[p.Addr]; w.down[p.Addr] || other.self.Life != p.Life {
						t.Proof(w.now, p.Member)
					} else if !w.frozen[p.Addr] && !w.cut(a, p.Addr) {
						t.Answers(w.now, p.Member)
					}
				}
			}
		}
	}
}

// count is how many of those that run believe so of a member.
func (w *net) count(name string, s State) (n int) {
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
	w := newNet(t, n)
	w.run(12_000_000)
	for i := range n {
		if got := len(w.tables[addr(i)].Members()); got != n-1 {
			t.Fatalf("%s knows %d", addr(i), got)
		}
	}
	for i := 10; i < 10+few; i++ {
		w.down[addr(i)] = true
	}
	before := w.packets
	known := -1
	for s := 1; s <= 20 && known < 0; s++ {
		w.run(500_000)
		all := true
		for i := 10; i < 10+few; i++ {
			all = all && w.count(fmt.Sprintf("g%03d", i), Dead) == n-few
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
		if got := w.count(fmt.Sprintf("g%03d", i), Alive); got != n {
			t.Fatalf("g%03d is alive to %d of %d", i, got, n)
		}
	}
}

// A frozen member is never dead: doubted, away, and back with its first answer.
func TestFrozenIsNotDead(t *testing.T) {
	w := newNet(t, 30)
	w.run(5_000_000)
	w.frozen[addr(7)] = true
	w.run(10_000_000)
	if n := w.count("g007", Dead); n > 0 {
		t.Errorf("dead to %d", n)
	}
	if n := w.count("g007", Away); n < 25 {
		t.Errorf("away to %d only", n)
	}
	delete(w.frozen, addr(7))
	w.run(5_000_000)
	if n := w.count("g007", Alive); n != 30 {
		t.Errorf("alive to %d of 30", n)
	}
}

// Two halves that were cut off from each other find together again.
func TestHealedHalves(t *testing.T) {
	w := newNet(t, 20)
	w.run(5_000_000)
	w.cut = func(a, b string) bool { return (a < addr(10)) != (b < addr(10)) }
	w.run(15_000_000)
	if n := w.count("g015", Dead); n > 0 {
		t.Errorf("dead to %d", n)
	}
	w.cut = func(a, b string) bool { return false }
	w.run(15_000_000)
	for i := range 20 {
		if n := w.count(fmt.Sprintf("g%03d", i), Alive); n != 20 {
			t.Errorf("g%03d is alive to %d of 20", i, n)
		}
	}
}

// What is known stays within its bound.
func TestMostMembers(t *testing.T) {
	s := DefaultSettings()
	s.Most = 10
	v := New(Info{Member: takeover.Member{Name: "me"}}, nil, s, 1)
	for i := range 100 {
		v.News(0, []Info{{Member: takeover.Member{Name: fmt.Sprint(i)}}})
	}
	if len(v.Members()) != 10 || v.Refused() != 90 {
		t.Errorf("%d known, %d refused", len(v.Members()), v.Refused())
	}
}
