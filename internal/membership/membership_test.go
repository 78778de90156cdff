package membership

import (
	"fmt"
	"os"
	"strconv"
	"testing"

	"archknot/internal/takeover"
)

// testNetwork is a network of members with a latency of a millisecond, in virtual time.
type testNetwork struct {
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
	t.Helper()
	network := &testNetwork{
		tables:      map[string]*Table{},
		frozen:      map[string]bool{},
		down:        map[string]bool{},
		partitioned: func(a, b string) bool { return false },
	}
	for i := range n {
		network.start(i, 1)
	}
	return network
}

func testAddr(i int) string { return fmt.Sprintf("a%03d", i) }

func testName(i int) string { return fmt.Sprintf("g%03d", i) }

func (n *testNetwork) start(i int, incarnation uint64) {
	self := MemberInfo{Member: takeover.Member{Name: testName(i), Incarnation: incarnation}, Addr: testAddr(i), Zone: fmt.Sprint(i % 3)}
	n.tables[testAddr(i)] = New(self, []string{testAddr(0), testAddr(1)}, DefaultSettings(), uint64(i+1)*7919)
	delete(n.down, testAddr(i))
}

// run advances the virtual time in steps of a millisecond.
func (n *testNetwork) run(duration Micros) {
	for end := n.now + duration; n.now < end; {
		n.now += 1000
		n.deliverAll()
		for i := range len(n.tables) {
			addr := testAddr(i)
			ticks := n.now/1000%20 == int64(i%20) // a member ticks every 20 ms, and whenever it has outputs
			if (ticks || len(n.tables[addr].outputs) > 0) && !n.down[addr] && !n.frozen[addr] {
				n.tables[addr].Tick(n.now)
				n.runOutputs(addr)
			}
		}
	}
}

// deliverAll delivers the messages that were sent in the last step. Those to a frozen member stay
// in the queue.
func (n *testNetwork) deliverAll() {
	queue := n.queue
	n.queue = nil
	for _, m := range queue {
		receiver := n.tables[m.to]
		if receiver == nil || n.down[m.to] || n.partitioned(m.from, m.to) {
			continue
		}
		if n.frozen[m.to] {
			n.queue = append(n.queue, m)
			continue
		}
		n.packets++
		receiver.Receive(n.now, n.tables[m.from].self.Member, m.message)
	}
}

func (n *testNetwork) runOutputs(addr string) {
	table := n.tables[addr]
	for _, o := range table.Outputs() {
		if o.Probe == nil {
			n.queue = append(n.queue, queuedMessage{addr, o.To, o.Message})
			continue
		}
		probed := o.Probe.Addr
		if n.down[probed] || n.tables[probed].self.Incarnation != o.Probe.Incarnation {
			table.ConfirmDead(n.now, o.Probe.Member)
		} else if !n.frozen[probed] && !n.partitioned(addr, probed) {
			table.ConfirmAlive(n.now, o.Probe.Member)
		}
	}
}

// countState returns how many running members have a member in a state.
func (n *testNetwork) countState(name string, state State) (count int) {
	for addr, table := range n.tables {
		if m, ok := table.Member(name); ok && !n.down[addr] && m.State == state {
			count++
		}
	}
	return count
}

// A hundred members discover each other. When three in ten of them die at once, all others record
// the deaths within 10 s. After a restart they are alive to all. MEMBERS=300 runs it with 300.
func TestMassDeath(t *testing.T) {
	n := 100
	if v, err := strconv.Atoi(os.Getenv("MEMBERS")); err == nil {
		n = v
	}
	dying := n * 3 / 10
	network := newTestNetwork(t, n)
	network.run(12_000_000)
	for i := range n {
		if got := len(network.tables[testAddr(i)].Members()); got != n-1 {
			t.Fatalf("%s has discovered %d other members", testAddr(i), got)
		}
	}
	for i := 10; i < 10+dying; i++ {
		network.down[testAddr(i)] = true
	}
	before := network.packets
	knownAfter := -1 // in milliseconds
	for s := 1; s <= 20 && knownAfter < 0; s++ {
		network.run(500_000)
		allKnow := true
		for i := 10; i < 10+dying; i++ {
			allKnow = allKnow && network.countState(testName(i), Dead) == n-dying
		}
		if allKnow {
			knownAfter = s * 500
		}
	}
	rate := float64(network.packets-before) / float64(n-dying) / (float64(knownAfter) / 1000)
	t.Logf("%d of %d dead: known to all after %d ms, %.1f messages a member and second", dying, n, knownAfter, rate)
	if knownAfter < 0 {
		t.Error("not all members have recorded the deaths after 10 s")
	}
	for i := 10; i < 10+dying; i++ {
		network.start(i, 2)
	}
	network.run(12_000_000)
	for i := 10; i < 10+dying; i++ {
		if got := network.countState(testName(i), Alive); got != n {
			t.Fatalf("%s is alive to %d of %d", testName(i), got, n)
		}
	}
}

// A frozen member is never recorded as dead: it becomes suspect, then unreachable, and is alive with
// its first answer.
func TestFrozenMemberIsNotDead(t *testing.T) {
	network := newTestNetwork(t, 30)
	network.run(5_000_000)
	network.frozen[testAddr(7)] = true
	network.run(10_000_000)
	if n := network.countState("g007", Dead); n > 0 {
		t.Errorf("dead to %d", n)
	}
	if n := network.countState("g007", Unreachable); n < 25 {
		t.Errorf("unreachable to %d only", n)
	}
	delete(network.frozen, testAddr(7))
	network.run(5_000_000)
	if n := network.countState("g007", Alive); n != 30 {
		t.Errorf("alive to %d of 30", n)
	}
}

// The two halves of a partitioned network discover each other again after the partition heals.
func TestPartitionHeals(t *testing.T) {
	network := newTestNetwork(t, 20)
	network.run(5_000_000)
	network.partitioned = func(a, b string) bool { return (a < testAddr(10)) != (b < testAddr(10)) }
	network.run(15_000_000)
	if n := network.countState("g015", Dead); n > 0 {
		t.Errorf("dead to %d", n)
	}
	network.partitioned = func(a, b string) bool { return false }
	network.run(15_000_000)
	for i := range 20 {
		if n := network.countState(testName(i), Alive); n != 20 {
			t.Errorf("%s is alive to %d of 20", testName(i), n)
		}
	}
}

// The table never has more than MaxMembers.
func TestMemberLimit(t *testing.T) {
	settings := DefaultSettings()
	settings.MaxMembers = 10
	table := New(MemberInfo{Member: takeover.Member{Name: "self"}}, nil, settings, 1)
	for i := range 100 {
		table.Merge(0, []MemberInfo{{Member: takeover.Member{Name: fmt.Sprint(i)}}})
	}
	if len(table.Members()) != 10 || table.Rejected() != 90 {
		t.Errorf("%d members, %d rejected", len(table.Members()), table.Rejected())
	}
}
