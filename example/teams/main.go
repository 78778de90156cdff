// Teams measures contracts on sockets: three teams with contracts, a fleet of
// stand-in workers with room for what the contracts sum to, and a gateway of this
// process, all on loopback. One team surges to ten times its rate. It tells each
// team's share by windows, and what became of `agent` requests of another team.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kong"

	"archknot/balancer"
	"archknot/internal/contract"
	"archknot/internal/gateway"
	"archknot/internal/httpwire"
)

var args struct {
	For      time.Duration `default:"60s" help:"How long each phase lasts, before and within the surge."`
	Rate     float64       `default:"100" help:"Requests a second that the fleet has room for, and that the contracts sum to."`
	Surge    float64       `default:"10" help:"How many times its rate the first team sends in the second phase."`
	Workers  int           `default:"10" help:"Stand-in workers."`
	Service  time.Duration `default:"196ms" help:"What one request takes at a worker."`
	Queue    int           `default:"4" help:"Requests that may wait at a worker; beyond them it declines."`
	Random   bool          `help:"Poisson arrivals in place of even ones."`
	Alone    bool          `help:"Only the first team sends, at the surge's rate: what becomes of the others' shares."`
	Off      bool          `help:"Without contracts, for comparison."`
	Calm     float64       `default:"1" help:"Of its rate, what a team sends otherwise."`
	Seed     uint64        `default:"1" help:"For the draws."`
	JSON     bool          `name:"json" help:"Print JSON."`
	Deadline time.Duration `default:"2s" help:"What clients wait for the first token."`
}

// parts are the teams' shares of the fleet.
var parts = []float64{0.4, 0.3, 0.3}

var names = []string{"a", "b", "c"}

const made = 100 // tokens a request

// fleet is a registry and workers with so many places each, at loopback addresses.
type fleet struct {
	list  httpwire.EndpointList
	slots int64
}

func listen() (net.Listener, string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "teams:", err)
		os.Exit(2)
	}
	return l, l.Addr().String()
}

func (f *fleet) worker(name string) {
	l, addr := listen()
	f.list.Endpoints = append(f.list.Endpoints, httpwire.Endpoint{ID: name, Addr: addr, Zone: "here", Kind: "toy", Lifecycle: "ready", Weight: 1})
	var in atomic.Int64
	places := make(chan struct{}, f.slots)
	go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		load := func() string {
			return fmt.Sprintf("busy_reqs=%d,x0=%.3f", in.Load(), float64(in.Load())/float64(f.slots))
		}
		switch r.URL.Path {
		case httpwire.LivePath:
			return
		case httpwire.StatsPath:
			fmt.Fprint(w, load())
			return
		case httpwire.CompletionsPath:
		default:
			http.NotFound(w, r)
			return
		}
		io.Copy(io.Discard, r.Body)
		defer in.Add(-1)
		if in.Add(1) > f.slots+int64(args.Queue) {
			w.Header().Set("Srv-Declined", "1")
			w.Header().Set("Srv-Load", load())
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		select {
		case places <- struct{}{}:
			defer func() { <-places }()
		case <-r.Context().Done():
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		flush := http.NewResponseController(w)
		for i := range 2 {
			time.Sleep(args.Service / 2)
			fmt.Fprintf(w, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"word %d\"},\"finish_reason\":null}]}\n\n", i)
			flush.Flush()
		}
		fmt.Fprintf(w, "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":0,\"completion_tokens\":%d,\"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\n"+
			"data: [DONE]\n\n: Srv-Load: %s\n\n", made, load())
	}))
}

func (f *fleet) registry() string {
	l, addr := listen()
	go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		out := f.list
		if r.FormValue("since") == strconv.FormatInt(f.list.Generation, 10) {
			wait, _ := strconv.Atoi(r.FormValue("timeout_ms"))
			select {
			case <-time.After(time.Duration(wait) * time.Millisecond):
			case <-r.Context().Done():
			}
			out.Reset, out.Endpoints = false, nil
		}
		json.NewEncoder(w).Encode(out)
	}))
	return addr
}

func start() (addr string, g *gateway.Gateway, stop func()) {
	f := &fleet{slots: int64(math.Ceil(args.Rate*args.Service.Seconds()/float64(args.Workers) - 0.05))}
	f.list.Generation, f.list.Reset = 1, true
	for i := range args.Workers {
		f.worker(fmt.Sprint("w-", i+1))
	}
	classes := []balancer.Class{
		{Name: "agent", LatencyObjective: 1_000_000, TokenObjective: 300_000, Deadline: args.Deadline.Microseconds(), PriorityWeight: 2, LateWeightShare: 0.3, Streaming: true},
		{Name: "bulk", LatencyObjective: 1_000_000, TokenObjective: 300_000, Deadline: args.Deadline.Microseconds(), PriorityWeight: 2, LateWeightShare: 0.3, Streaming: true}}
	o := gateway.Options{Name: "teams", Discovery: f.registry(), Seed: args.Seed, CachedList: httpwire.EndpointList{Generation: httpwire.NoGeneration}, MaxInFlight: 4000, MaxClientConns: 4000, OverflowConns: 16, MaxReplicaConns: 2000,
		MaxBodyBytes: 1 << 20, ConnectTimeout: time.Second, ReplicaConnIdle: 30 * time.Second, ClientConnIdle: 30 * time.Second, StreamIdleTimeout: 5 * time.Second,
		HealthCheckTimeout: time.Second, PollWithin: 10 * time.Second, WatchWait: 2 * time.Second, DiscoveryTimeout: time.Second,
		DrainAcceptPeriod: 100 * time.Millisecond,
		Settings: balancer.Settings{Gateways: 1, Zone: "here", Zones: []string{"here"}, Kinds: []string{"toy"}, Classes: classes, MaxAttempts: 3,
			OverQuotaWeight: 0.05, MayHealthCheck: true}}
	o.Settings.Tick, o.Settings.PollDiscovery, o.Settings.ReportSource, o.Settings.MayCancel = 2000, true, balancer.ReportInline, true
	o.Settings.InitialCapacity, o.Settings.OverloadMultiple, o.Settings.SlowStartFor, o.Settings.OverloadWindow = 0.3, 3, 8e6, 1.5e6
	o.Settings.StreamsPerConn, o.Settings.ConnIdleTimeout = 1, 60e6
	if !args.Off {
		c := &gateway.Contracts{Settings: contract.Settings{Location: time.UTC, BorrowPoolSeconds: 1, UnknownTenantWeight: 0.05}}
		for i, name := range names {
			rate := parts[i] * args.Rate * made * float64(contract.Token)
			c.Teams = append(c.Teams, contract.Terms{Team: name, Tenants: []string{name}, Rate: rate, Burst: contract.Units(rate), OverQuotaWeight: 0.001,
				Prices: map[string]contract.Price{"agent": {OutputToken: 1}, "bulk": {OutputToken: 1}}})
		}
		o.Contracts = c
	}
	g, err := gateway.New(o)
	if err != nil {
		fmt.Fprintln(os.Stderr, "teams:", err)
		os.Exit(2)
	}
	l, addr := listen()
	ctx, cancel := context.WithCancel(context.Background())
	go g.Serve(ctx, l)
	return addr, g, cancel
}

// tally is what became of one team's requests.
type tally struct {
	mu     sync.Mutex
	sent   []int // by second
	served []int
	agent  [2]int // sent and served
}

func (t *tally) note(second int, agent, served bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for len(t.sent) <= second {
		t.sent, t.served = append(t.sent, 0), append(t.served, 0)
	}
	t.sent[second]++
	if agent {
		t.agent[0]++
	}
	if served {
		t.served[second]++
		if agent {
			t.agent[1]++
		}
	}
}

// phase sends for a while at each team's rate, in requests a second.
func phase(client *http.Client, addr string, rates []float64, n int) []*tally {
	var out []*tally
	var all sync.WaitGroup
	begin := time.Now()
	for i := range names {
		t := &tally{}
		out = append(out, t)
		all.Add(1)
		go func() {
			defer all.Done()
			rng := rand.New(rand.NewPCG(args.Seed, uint64(n*10+i)))
			next := begin
			for k := 0; ; k++ {
				if rates[i] <= 0 {
					return
				}
				gap := 1.0
				if args.Random {
					gap = rng.ExpFloat64()
				}
				next = next.Add(time.Duration(gap / rates[i] * 1e9))
				at := next.Sub(begin)
				if at > args.For {
					return
				}
				time.Sleep(time.Until(next))
				agent := i > 0 && k%3 == 0
				all.Add(1)
				go func() {
					defer all.Done()
					t.note(int(at/time.Second), agent, send(client, addr, i, agent, fmt.Sprintf("p%d-%d-%d", n, i, k)))
				}()
			}
		}()
	}
	all.Wait()
	return out
}

func send(client *http.Client, addr string, team int, agent bool, id string) bool {
	ctx, stop := context.WithTimeout(context.Background(), 10*time.Second)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/chat/completions", strings.NewReader(`{"model":"chat","stream":true}`))
	if err != nil {
		panic(err)
	}
	class := "bulk"
	if agent {
		class = "agent"
	}
	for key, v := range map[string]string{"Req-Id": id, "Req-Kind": class, "Req-Owner": names[team], "Req-Deadline": fmt.Sprintf("%dm", args.Deadline.Milliseconds()),
		"Req-Extra": fmt.Sprintf("prompt_len=100,max_out=%d", made)} {
		req.Header.Set(key, v)
	}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

// result is one phase's.
type result struct {
	Phase   string    `json:"phase"`
	Team    string    `json:"team"`
	Sent    float64   `json:"sent_per_s"`
	Served  float64   `json:"served_per_s"`
	Share   float64   `json:"share"` // of all served, from the fifth second on
	Worst   float64   `json:"worst_window"`
	Agent   float64   `json:"agent_served"`
	Windows []float64 `json:"windows"` // served in each 10 s, in parts of what is due: the contract, or what was sent if less
}

func results(phase string, list []*tally) (out []result) {
	seconds := int(args.For / time.Second)
	all := 0
	for _, t := range list {
		for s := 5; s < min(seconds, len(t.served)); s++ {
			all += t.served[s]
		}
	}
	for i, t := range list {
		r := result{Phase: phase, Team: names[i]}
		sent, served := 0, 0
		for s := 5; s < min(seconds, len(t.sent)); s++ {
			sent += t.sent[s]
			served += t.served[s]
		}
		r.Sent, r.Served = float64(sent)/float64(seconds-5), float64(served)/float64(seconds-5)
		r.Share = float64(served) / math.Max(1, float64(all))
		for from := 5; from+10 <= min(seconds, len(t.sent)); from++ {
			due, got := 0, 0
			for s := from; s < from+10; s++ {
				due += t.sent[s]
				got += t.served[s]
			}
			if due == 0 {
				continue
			}
			v := float64(got) / math.Min(float64(due), 10*parts[i]*args.Rate)
			r.Windows = append(r.Windows, v)
			r.Worst = math.Max(r.Worst, math.Abs(v-1))
		}
		if t.agent[0] > 0 {
			r.Agent = float64(t.agent[1]) / float64(t.agent[0])
		}
		out = append(out, r)
	}
	return out
}

func main() {
	kong.Parse(&args, kong.Description("Measures contracts of three teams on loopback.\n\nExample:\n  teams --for 40s --surge 10"))
	slog.SetDefault(slog.New(slog.DiscardHandler))
	addr, g, stop := start()
	defer stop()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000, DisableCompression: true}}
	calm, surge := make([]float64, 3), make([]float64, 3)
	for i, p := range parts {
		calm[i] = args.Calm * p * args.Rate
		surge[i] = calm[i]
	}
	surge[0] = args.Surge * parts[0] * args.Rate
	if args.Alone {
		calm[1], calm[2], surge[1], surge[2] = 0, 0, 0, 0
	}
	var list []result
	list = append(list, results("calm", phase(client, addr, calm, 1))...)
	list = append(list, results("surge", phase(client, addr, surge, 2))...)
	if args.JSON {
		e := json.NewEncoder(os.Stdout)
		e.SetIndent("", "  ")
		e.Encode(list)
		return
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "phase\tteam\tsent/s\tserved/s\tshare\tworst 10 s window\tagent served\t")
	for _, r := range list {
		fmt.Fprintf(w, "%s\t%s\t%.1f\t%.1f\t%.1f%%\t%.1f%%\t%.2f%%\t\n", r.Phase, r.Team, r.Sent, r.Served, 100*r.Share, 100*r.Worst, 100*r.Agent)
	}
	w.Flush()
	accounts, _ := g.Accounts(context.Background())
	for _, a := range accounts {
		fmt.Printf("%s: taken %d, over %d, refused %d\n", a.Team, a.Counters.Admitted, a.Counters.OverQuota, a.Counters.Rejected)
	}
}
