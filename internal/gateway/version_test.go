package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"archknot/balancer"
	"archknot/internal/configversion"
	pb "archknot/internal/configversion/configpb"
	"archknot/internal/fakes/controlservice"
	"archknot/internal/httpwire"
	"archknot/internal/inflight"
	"archknot/internal/xdsclient"
)

// controlledGateway is a gateway that follows a control service.
type controlledGateway struct {
	*testGateway
	client *xdsclient.Client
}

func (v *controlledGateway) Apply(ctx context.Context, c *configversion.Config) configversion.Rejections {
	l := configversion.DefaultLimits
	return v.ApplyVersion(ctx, c, l)
}

func (v *controlledGateway) versionInForce() uint64 {
	if c := v.client.InForce(); c != nil {
		return uint64(c.Number)
	}
	return 0
}

func followControlService(t *testing.T, name, addr string, g *testGateway) *controlledGateway {
	t.Helper()
	v := &controlledGateway{testGateway: g}
	o := xdsclient.Options{Address: addr, Machine: configversion.DefaultOptions(name, 1)}
	o.Machine.InitialBackoff, o.Machine.MaxBackoff, o.Machine.MinInterval = 20_000, 200_000, 20_000
	o.Log = func(msg string, args ...any) { t.Log(append([]any{name, msg}, args...)...) }
	var err error
	if v.client, err = xdsclient.New(o, v); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		v.client.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() { stop(); <-done })
	return v
}

func chatVersion(n uint64) *controlservice.Version {
	return &controlservice.Version{Number: n, Resources: map[configversion.ResourceType][]proto.Message{
		configversion.TypeClass:    {&pb.Class{Name: "chat", AimUs: 1_000_000, TokenAimUs: 50_000, DeadlineUs: 4_000_000, Worth: float64(n), Stream: true}},
		configversion.TypeAttempts: {&pb.Attempts{Most: uint32(1 + n%3), SecondCopies: true}},
	}}
}

// Three gateways under load apply versions, valid and invalid, completely or not at all: no
// request is lost, a replica that a version drains gets no new request, and the capture over
// all the versions replays identically.
func TestVersionsUnderLoad(t *testing.T) {
	release := make(chan struct{})
	answer := func(c net.Conn, r *http.Request) bool {
		if strings.HasPrefix(r.Header.Get("Req-Id"), "hold") {
			<-release
		}
		time.Sleep(3 * time.Millisecond)
		_, err := io.WriteString(c, streamHead+chunk(event1)+chunk(event2)+chunk(loadReportLine)+lastChunk)
		return err == nil
	}
	service, err := controlservice.Start("127.0.0.1:0", nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(service.Stop)
	w1, w2, w3 := newFakeReplica(t, "s-1", answer), newFakeReplica(t, "s-2", answer), newFakeReplica(t, "s-3", answer)
	var gateways []*controlledGateway
	var dirs []string
	for i := range 3 {
		dir := t.TempDir()
		dirs = append(dirs, dir)
		g := startGateway(t, func(o *Options) { o.Capture = captureTo(dir) }, w1, w2, w3)
		gateways = append(gateways, followControlService(t, fmt.Sprint("n", i), service.Addr(), g))
	}
	allInForce := func(n uint64) func() bool {
		return func() bool {
			for _, g := range gateways {
				if g.versionInForce() != n {
					return false
				}
			}
			return true
		}
	}
	// The load: each client sends request after request, and every answer is complete.
	ctx, stop := context.WithCancel(t.Context())
	var clients sync.WaitGroup
	var served, failed atomic.Int64
	for i, g := range gateways {
		for j := range 3 {
			clients.Add(1)
			go func() {
				defer clients.Done()
				client := &http.Client{Transport: &http.Transport{}}
				defer client.CloseIdleConnections()
				for k := 0; ctx.Err() == nil; k++ {
					req, _ := http.NewRequest("POST", "http://"+g.addr+"/v1/chat/completions", strings.NewReader(`{"stream":true}`))
					req.Header.Set("Req-Id", fmt.Sprintf("%d-%d-%d", i, j, k))
					req.Header.Set("Req-Kind", "chat")
					req.Header.Set("Req-Deadline", "4000m")
					resp, err := client.Do(req)
					if err != nil {
						failed.Add(1)
						continue
					}
					body, err := io.ReadAll(resp.Body)
					resp.Body.Close()
					if err != nil || resp.StatusCode != http.StatusOK || !strings.HasSuffix(string(body), loadReportLine) {
						failed.Add(1)
						continue
					}
					served.Add(1)
				}
			}()
		}
	}
	waitUntil(t, "load", func() bool { return served.Load() > 50 })
	// One request waits for its first token all the time, at each gateway.
	for i, g := range gateways {
		c := dial(t, g.addr)
		c.sendRequest(fmt.Sprint("hold", i), "60000m")
		clients.Add(1)
		go func() {
			defer clients.Done()
			c.SetDeadline(time.Now().Add(time.Minute))
			if resp, err := http.ReadResponse(c.reader, nil); err != nil || resp.StatusCode != http.StatusOK {
				failed.Add(1)
			}
		}()
	}
	waitUntil(t, "the long requests", func() bool {
		started := map[string]bool{}
		for _, w := range []*fakeReplica{w1, w2, w3} {
			w.mu.Lock()
			for _, r := range w.requests {
				if id := r.Header.Get("Req-Id"); strings.HasPrefix(id, "hold") {
					started[id] = true
				}
			}
			w.mu.Unlock()
		}
		return len(started) == 3
	})
	service.Publish(chatVersion(1))
	waitUntil(t, "version 1", allInForce(1))
	expectRejected := func(want string) {
		t.Helper()
		ctx, stop := context.WithTimeout(t.Context(), 5*time.Second)
		defer stop()
		err := service.AwaitAcks(ctx, func(list []controlservice.Ack) bool {
			who := map[string]bool{}
			for _, a := range list {
				if strings.Contains(a.Error, want) {
					who[a.Gateway] = true
				}
			}
			return len(who) == 3
		})
		if err != nil {
			t.Fatalf("not rejected: %s", want)
		}
	}
	// Valid versions, but invalid transitions: requests of the class are in flight all the time.
	withoutClass := chatVersion(2)
	withoutClass.Resources[configversion.TypeClass] = []proto.Message{&pb.Class{Name: "docs", AimUs: 1, DeadlineUs: 4_000_000}}
	service.Publish(withoutClass)
	expectRejected("version 2: Class chat: taken out with")
	shortDeadline := chatVersion(3)
	shortDeadline.Resources[configversion.TypeClass][0].(*pb.Class).DeadlineUs = 2_000_000
	service.Publish(shortDeadline)
	expectRejected("version 3: Class chat: deadline_us: shortened")
	if !allInForce(1)() {
		t.Fatal("not on version 1")
	}
	// A version drains a replica: no new request goes there once it is in force.
	drain := chatVersion(4)
	drain.Resources[configversion.TypeReplica] = []proto.Message{&pb.Worker{Name: "s-2", Mark: pb.Worker_DRAIN}}
	service.Publish(drain)
	waitUntil(t, "version 4", allInForce(4))
	_, before := w2.counts()
	had := served.Load()
	waitUntil(t, "more load", func() bool { return served.Load() > had+100 })
	if _, after := w2.counts(); after > before+9 { // attempts that were dispatched before the version came into force
		t.Errorf("%d requests went to the drained replica", after-before)
	}
	// A version cannot reinstate a replica that discovery drains.
	for _, g := range gateways {
		g.discoveryServer.change(listEntry(w3, "draining"))
	}
	waitUntil(t, "discovery's state", func() bool {
		for _, g := range gateways {
			found := make(chan bool, 1)
			g.loop.post(ctx, inspectLoop{func(l *eventLoop) { found <- l.endpoints.listed["s-3"].Lifecycle == "draining" }})
			if !<-found {
				return false
			}
		}
		return true
	})
	reinstating := chatVersion(5)
	reinstating.Resources[configversion.TypeReplica] = []proto.Message{&pb.Worker{Name: "s-3", Mark: pb.Worker_SERVE}}
	service.Publish(reinstating)
	expectRejected("version 5: Worker s-3: mark: brought back, but the registry says that it drains")
	// A version is applied completely, although the service stops while it sends.
	interrupted := chatVersion(6)
	interrupted.CloseAfter = 1
	service.Publish(interrupted)
	service.Stop()
	if err := service.Restart(); err != nil {
		t.Fatal(err)
	}
	for n := uint64(7); n < 13; n++ {
		service.Publish(chatVersion(n))
		waitUntil(t, fmt.Sprint("version ", n), allInForce(n))
	}
	// Further faults of a control service, under the same load.
	tooManyAttempts := chatVersion(13)
	tooManyAttempts.Resources[configversion.TypeAttempts] = []proto.Message{&pb.Attempts{Most: 4}}
	service.Publish(tooManyAttempts)
	expectRejected("version 13: Attempts: most: expected 1 to 3, got 4")
	truncated := chatVersion(14)
	truncated.Truncate = configversion.TypeClass
	service.Publish(truncated)
	expectRejected("resource 0: proto:")
	service.Publish(chatVersion(3))
	expectRejected("version 3 is older than 12")
	if !allInForce(12)() {
		t.Fatal("not on version 12")
	}
	slow := chatVersion(15)
	slow.Delay, slow.RepeatNonce = 20*time.Millisecond, true
	service.Publish(slow)
	waitUntil(t, "version 15, slow and with one nonce", allInForce(15))
	for n := uint64(20); n < 70; n++ {
		service.Publish(chatVersion(n))
	}
	if took := timeUntil(t, "the flood's last", allInForce(69)); took > 2*time.Second {
		t.Errorf("the flood's last took %v", took)
	}
	_, before = w2.counts()
	waitUntil(t, "the drained replica in use again", func() bool { _, n := w2.counts(); return n > before })
	close(release)
	stop()
	clients.Wait()
	if failed.Load() > 0 || served.Load() < 150 {
		t.Errorf("%d served, %d not", served.Load(), failed.Load())
	}
	for i, g := range gateways {
		waitUntil(t, "nothing in flight", func() bool { return g.clients.inFlightCount() == 0 })
		ctx, stop := context.WithTimeout(t.Context(), 5*time.Second)
		if err := g.SetCapture(ctx, nil); err != nil {
			t.Fatal(err)
		}
		stop()
		if n, _ := replayDir(t, dirs[i]); n < 100 {
			t.Errorf("%d events", n)
		}
	}
}

func timeUntil(t *testing.T, condition string, done func() bool) time.Duration {
	t.Helper()
	begin := time.Now()
	waitUntil(t, condition, done)
	return time.Since(begin)
}

// BenchmarkApplyVersion measures the loop's time for a version, with 1,000 replicas and
// 10,000 requests in flight.
func BenchmarkApplyVersion(b *testing.B) {
	g := newTestGateway(b, testOptions())
	l := g.loop
	l.now = g.clock.now()
	list := httpwire.EndpointList{Generation: 1}
	for i := range 1000 {
		list.Endpoints = append(list.Endpoints, httpwire.Endpoint{ID: fmt.Sprint("s-", i), Addr: "127.0.0.1:1", Zone: "a", Kind: "k", Lifecycle: "ready"})
	}
	l.loadCachedList(list)
	for i := range 10_000 {
		r := inflight.NewRequest(context.Background(), fmt.Sprint(i), balancer.Request{Class: "chat", PromptTokens: 10}, l.now+60e6, 3)
		requestArrived{r, l.gateway.config.Load(), true}.apply(l)
	}
	if n := l.balancer.Stats().Requests; n < 9_000 {
		b.Fatal(n)
	}
	limits := configversion.DefaultLimits
	c := &configversion.Config{Number: 1, HasClasses: true, Classes: []balancer.Class{{Name: "chat", LatencyObjective: 1e6, Deadline: 4e6, PriorityWeight: 1, Streaming: true}}}
	done := make(chan configversion.Rejections, 1)
	for b.Loop() {
		c.Number++
		c.Classes[0].PriorityWeight++
		versionChange{g.completeVersion(c), nil, limits, done}.apply(l)
		if r := <-done; len(r) > 0 {
			b.Fatal(r)
		}
	}
}

// inspectLoop runs a test's function between two events.
type inspectLoop struct{ f func(*eventLoop) }

func (e inspectLoop) apply(l *eventLoop) { e.f(l) }

// A version comes into force between the head of a request and its last byte: the request is
// served completely under the new version, or rejected if that does not have its class. No
// request is served by parts of two versions.
func TestVersionDuringRequest(t *testing.T) {
	version := func(name string, deadline uint64) *configversion.Config {
		c := balancer.Class{Name: name, LatencyObjective: 1_000_000, Deadline: balancer.Micros(deadline), PriorityWeight: 1, Streaming: true}
		return &configversion.Config{HasClasses: true, Classes: []balancer.Class{c}}
	}
	for name, c := range map[string]struct {
		next      *configversion.Config
		status    int
		announced balancer.Micros // most time announced to the replica; the least is a tenth of it
	}{
		"its class is gone":           {version("other", 4_000_000), 400, 0},
		"its class has another time":  {version("chat", 60_000_000), 200, 60_000_000},
		"its class has a shorter one": {version("chat", 2_000_000), 200, 2_000_000},
	} {
		t.Run(name, func(t *testing.T) {
			w := newFakeReplica(t, "s-1", answerCompletely)
			g := startGateway(t, nil, w)
			client := dial(t, g.addr)
			client.sendRaw("POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nReq-Id: v\r\nReq-Kind: chat\r\nContent-Length: 5\r\n\r\nab")
			waitUntil(t, "its head was read", func() bool { return g.clients.bodyBytes.Load() > 0 })
			if r := g.ApplyVersion(t.Context(), c.next, configversion.DefaultLimits); len(r) > 0 {
				t.Fatal(r)
			}
			client.sendRaw("cde")
			if resp, body := client.readAnswer(); resp.StatusCode != c.status {
				t.Errorf("status %d %q", resp.StatusCode, body)
			}
			_, n := w.counts()
			if sent := c.status == 200; sent != (n == 1) {
				t.Fatalf("%d requests forwarded", n)
			}
			if c.announced > 0 {
				var us balancer.Micros
				fmt.Sscanf(w.requests[0].Header.Get("Req-Deadline"), "%du", &us)
				if us > c.announced || us < c.announced/10 {
					t.Errorf("%d us were announced to the replica", us)
				}
			}
		})
	}
}
