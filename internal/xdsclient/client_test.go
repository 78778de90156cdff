package xdsclient

import (
	"context"
	"fmt"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"archknot/internal/configversion"
	pb "archknot/internal/configversion/configpb"
	"archknot/internal/fakes/controlservice"
)

// target records the applied versions, and rejects selected ones as transitions.
type target struct {
	mu      sync.Mutex
	inForce *configversion.Config
	applied []configversion.Number
	rejects map[configversion.Number]bool
}

func (t *target) Apply(_ context.Context, c *configversion.Config) configversion.Rejections {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c != nil && t.rejects[c.Number] {
		return configversion.Rejections{{Type: configversion.TypeClass, Resource: "chat", Reason: "taken out with 3 requests in hand"}}
	}
	t.inForce = c
	if c != nil {
		t.applied = append(t.applied, c.Number)
	}
	return nil
}

func (t *target) version() configversion.Number {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inForce == nil {
		return 0
	}
	return t.inForce.Number
}

// version returns a valid version.
func version(n uint64) *controlservice.Version {
	return &controlservice.Version{Number: n, Resources: map[configversion.ResourceType][]proto.Message{
		configversion.TypeClass: {&pb.Class{Name: "chat", AimUs: 1_000_000, DeadlineUs: 3_000_000, Worth: float64(n)},
			&pb.Class{Name: fmt.Sprint("extra", n%2), AimUs: 1_000_000, DeadlineUs: 4_000_000, Worth: 1}},
		configversion.TypeAttempts: {&pb.Attempts{Most: uint32(1 + n%3)}},
		configversion.TypeWatch:    {&pb.Watch{WaitUs: 5_000_000, CallTimeoutUs: 1_000_000}},
	}}
}

// gateway is a running client with its target.
type gateway struct {
	*target
	client *Client
	stop   func()
	done   chan struct{}
}

// startClient starts a client, and stops it when the test ends.
func startClient(t *testing.T, name, addr, store string, configure func(*Options)) *gateway {
	t.Helper()
	g := &gateway{target: &target{rejects: map[configversion.Number]bool{}}, done: make(chan struct{})}
	o := Options{Address: addr, Machine: configversion.DefaultOptions(name, uint64(len(name))), Log: func(msg string, args ...any) {}}
	o.Machine.InitialBackoff, o.Machine.MaxBackoff, o.Machine.MinInterval = 20_000, 300_000, 50_000
	if store != "" {
		s, _, err := OpenStore(store)
		if err != nil {
			t.Fatal(err)
		}
		o.Store = s
	}
	if configure != nil {
		configure(&o)
	}
	var err error
	if g.client, err = New(o, g.target); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	go func() {
		g.client.Run(ctx)
		close(g.done)
	}()
	g.stop = sync.OnceFunc(func() {
		stop()
		<-g.done
		if o.Store != nil {
			o.Store.Close()
		}
	})
	t.Cleanup(g.stop)
	return g
}

// waitFor polls until done returns true, and returns the elapsed time. It fails the test after 10 s.
func waitFor(t *testing.T, condition string, done func() bool) time.Duration {
	t.Helper()
	begin := time.Now()
	for end := begin.Add(10 * time.Second); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not reached within 10 s: %s", condition)
		}
	}
	return time.Since(begin)
}

func startService(t *testing.T) *controlservice.Service {
	t.Helper()
	s, err := controlservice.Start("127.0.0.1:0", nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Stop)
	return s
}

// Guards against versions that are applied in part, out of order, or although they are invalid, in both
// variants of the protocol. Three gateways receive valid, invalid, truncated and older versions, one that is
// rejected as a transition, many in quick succession, and a stream that ends within a version.
func TestVersionScripts(t *testing.T) {
	for name, delta := range map[string]bool{"world": false, "delta": true} {
		t.Run(name, func(t *testing.T) {
			s := startService(t)
			var gateways []*gateway
			for i := range 3 {
				gateways = append(gateways, startClient(t, fmt.Sprint("n", i), s.Addr(), filepath.Join(t.TempDir(), "store"), func(o *Options) { o.Delta = delta }))
			}
			on := func(n uint64) func() bool {
				return func() bool {
					for _, g := range gateways {
						if g.version() != configversion.Number(n) {
							return false
						}
					}
					return true
				}
			}
			s.Publish(version(1))
			waitFor(t, "version 1", on(1))
			invalid := version(2)
			invalid.Resources[configversion.TypeAttempts] = []proto.Message{&pb.Attempts{Most: 9}}
			s.Publish(invalid)
			ctx, stop := context.WithTimeout(t.Context(), 10*time.Second)
			defer stop()
			rejectedByAll := func(want string) func([]controlservice.Ack) bool {
				return func(list []controlservice.Ack) bool {
					rejectedBy := map[string]bool{}
					for _, a := range list {
						if strings.Contains(a.Error, want) {
							rejectedBy[a.Gateway] = true
						}
					}
					return len(rejectedBy) == 3
				}
			}
			if err := s.AwaitAcks(ctx, rejectedByAll("version 2: Attempts: most: expected 1 to 3, got 9")); err != nil {
				t.Fatal(err, s.Acks())
			}
			truncated := version(3)
			truncated.Truncate = configversion.TypeClass
			s.Publish(truncated)
			if err := s.AwaitAcks(ctx, rejectedByAll("resource 0: proto:")); err != nil {
				t.Fatal(err, s.Acks())
			}
			for _, g := range gateways {
				g.mu.Lock()
				g.rejects[4] = true
				g.mu.Unlock()
			}
			s.Publish(version(4))
			if err := s.AwaitAcks(ctx, rejectedByAll("version 4: Class chat: taken out with 3 requests in hand")); err != nil {
				t.Fatal(err, s.Acks())
			}
			if !on(1)() {
				t.Fatal("version 1 is no longer in force")
			}
			incomplete := version(5)
			incomplete.CloseAfter = 2
			before := s.Streams()
			s.Publish(incomplete)
			waitFor(t, "new streams", func() bool { return s.Streams() >= before+6 })
			if !on(1)() {
				t.Fatal("a version was applied in part")
			}
			s.Publish(version(6))
			waitFor(t, "version 6", on(6))
			s.Publish(version(1))
			if err := s.AwaitAcks(ctx, rejectedByAll("version 1 is older than 6")); err != nil {
				t.Fatal(err)
			}
			for n := range uint64(50) {
				s.Publish(version(10 + n))
			}
			took := waitFor(t, "the last of 50 versions", on(59))
			if took > 2*time.Second {
				t.Errorf("the last of 50 versions took %v, expected at most 2 s", took)
			}
			for _, g := range gateways {
				g.mu.Lock()
				if n := len(g.applied); n > 40 {
					t.Errorf("%d versions were applied, expected at most 40", n)
				}
				if w := g.inForce.Classes[0].PriorityWeight; w != 59 && g.inForce.Classes[1].PriorityWeight != 59 {
					t.Errorf("version applied in part: %+v", g.inForce)
				}
				g.mu.Unlock()
			}
			// The service restarts with the next version.
			s.Stop()
			repeatedNonce := version(60)
			repeatedNonce.RepeatNonce = true
			s.Publish(repeatedNonce)
			if err := s.Restart(); err != nil {
				t.Fatal(err)
			}
			waitFor(t, "version 60", on(60))
			acked := func(list []controlservice.Ack) bool {
				n := 0
				for _, a := range list {
					if a.Error == "" && (a.Version == "v60" || delta) && a.Type == configversion.TypeVersion {
						n++
					}
				}
				return n >= 3
			}
			if err := s.AwaitAcks(ctx, acked); err != nil {
				t.Error("version 60 was not acknowledged")
			}
			for _, g := range gateways {
				h, err := g.client.options.Store.History()
				if err != nil || len(h) < 5 {
					t.Errorf("history has %v, error %v", h, err)
				}
			}
		})
	}
}

// A restarted client applies the last good version while the control service is unreachable,
// and does not apply a version again that was rolled back.
func TestRestartWithoutControlService(t *testing.T) {
	s := startService(t)
	store := filepath.Join(t.TempDir(), "store")
	g := startClient(t, "n0", s.Addr(), store, nil)
	s.Publish(version(7))
	waitFor(t, "version 7", func() bool { return g.version() == 7 })
	waitFor(t, "version 7 is saved", func() bool { c, _, _ := g.client.options.Store.Load(); return c != nil && c.Number == 7 })
	g.stop()
	s.Stop()
	g = startClient(t, "n0", s.Addr(), store, nil)
	waitFor(t, "version 7 again", func() bool { return g.version() == 7 })
	if len(g.inForce.Classes) != 2 || g.inForce.Attempts.Max != 2 || g.inForce.Watch.Wait != 5_000_000 {
		t.Errorf("%+v", g.inForce)
	}
	if err := g.client.Rollback(t.Context(), "ordered"); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the configuration files are in force", func() bool { return g.version() == 0 })
	g.stop()
	if err := s.Restart(); err != nil {
		t.Fatal(err)
	}
	g = startClient(t, "n0", s.Addr(), store, nil)
	ctx, stop := context.WithTimeout(t.Context(), 10*time.Second)
	defer stop()
	if err := s.AwaitAcks(ctx, func(l []controlservice.Ack) bool {
		return len(l) > 0 && strings.Contains(l[len(l)-1].Error, "given back or refused before")
	}); err != nil || g.version() != 0 {
		t.Error("a version that was rolled back was applied again", err)
	}
}
