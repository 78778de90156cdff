// Command teams measures contracts over loopback sockets. It runs three teams with contracts, a fleet of fake replicas
// whose capacity equals the sum of the contracts, and a gateway in this process. One team surges to a multiple of its
// rate. The command prints each team's share of the served requests, its worst window, and the fraction of its `agent`
// requests that was served.
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

// quotaShares are the teams' fractions of the fleet's capacity.
var quotaShares = []float64{0.4, 0.3, 0.3}

// teamNames are the names of the teams. Each team has one tenant of the same name.
var teamNames = []string{"a", "b", "c"}

const (
	outputTokens   = 100 // output tokens that each answer reports
	tokenEvents    = 2   // content events in each answer
	warmUpSeconds  = 5   // start of each phase that the results exclude
	windowSeconds  = 10  // length of the sliding windows in the results
	requestTimeout = 10 * time.Second
)

// exitOn prints a non-nil error and ends the program with status 2.
func exitOn(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "teams:", err)
		os.Exit(2)
	}
}

func listen() (net.Listener, string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	exitOn(err)
	return l, l.Addr().String()
}

// serve serves in the background until the program ends.
func serve(l net.Listener, handler http.Handler) {
	go func() { _ = http.Serve(l, handler) }()
}

// fleet is a set of replicas at loopback addresses, each with the same number of slots, and their endpoint list.
type fleet struct {
	list  httpwire.EndpointList
	slots int64
}

// replica is a fake replica with the same service time for every request.
type replica struct {
	slots    int64
	inFlight atomic.Int64
	running  chan struct{} // has an element for each request in a slot
}

// addReplica starts a replica and adds it to the endpoint list.
func (f *fleet) addReplica(name string) {
	l, addr := listen()
	f.list.Endpoints = append(f.list.Endpoints, httpwire.Endpoint{ID: name, Addr: addr, Zone: "here", Kind: "toy", Lifecycle: "ready", Weight: 1})
	serve(l, &replica{slots: f.slots, running: make(chan struct{}, f.slots)})
}

func (r *replica) loadReport() string {
	return fmt.Sprintf("busy_reqs=%d,x0=%.3f", r.inFlight.Load(), float64(r.inFlight.Load())/float64(r.slots))
}

// ServeHTTP implements http.Handler with the platform's protocol.
func (r *replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	switch req.URL.Path {
	case httpwire.LivePath:
	case httpwire.StatsPath:
		fmt.Fprint(w, r.loadReport())
	case httpwire.CompletionsPath:
		r.serveCompletion(w, req)
	default:
		http.NotFound(w, req)
	}
}

func (r *replica) serveCompletion(w http.ResponseWriter, req *http.Request) {
	_, _ = io.Copy(io.Discard, req.Body) // the server detects a closed connection only after the body was read
	defer r.inFlight.Add(-1)
	if r.inFlight.Add(1) > r.slots+int64(args.Queue) {
		w.Header().Set("Srv-Declined", "1")
		w.Header().Set("Srv-Load", r.loadReport())
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case r.running <- struct{}{}:
		defer func() { <-r.running }()
	case <-req.Context().Done():
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for i := range tokenEvents {
		time.Sleep(args.Service / tokenEvents)
		fmt.Fprintf(w, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"word %d\"},\"finish_reason\":null}]}\n\n", i)
		_ = control.Flush() // fails only if the client has disconnected
	}
	fmt.Fprintf(w, "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":0,\"completion_tokens\":%d,\"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\n"+
		"data: [DONE]\n\n: Srv-Load: %s\n\n", outputTokens, r.loadReport())
}

// serveDiscovery serves the endpoint list, which does not change any more, and returns the address of discovery.
func (f *fleet) serveDiscovery() string {
	l, addr := listen()
	serve(l, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		out := f.list
		if req.FormValue("since") == strconv.FormatInt(f.list.Generation, 10) {
			waitMs, _ := strconv.Atoi(req.FormValue("timeout_ms")) // missing or malformed: 0
			select {
			case <-time.After(time.Duration(waitMs) * time.Millisecond):
			case <-req.Context().Done():
			}
			out.Reset, out.Endpoints = false, nil
		}
		_ = json.NewEncoder(w).Encode(out) // fails only if the client has disconnected
	}))
	return addr
}

// startGateway starts the fleet and a gateway in front of it. It returns the gateway's address.
func startGateway() (addr string, g *gateway.Gateway, stop func()) {
	f := &fleet{slots: int64(math.Ceil(args.Rate*args.Service.Seconds()/float64(args.Workers) - 0.05))}
	f.list.Generation, f.list.Reset = 1, true
	for i := range args.Workers {
		f.addReplica(fmt.Sprint("w-", i+1))
	}
	classes := []balancer.Class{
		{Name: "agent", LatencyObjective: 1_000_000, TokenObjective: 300_000, Deadline: args.Deadline.Microseconds(), PriorityWeight: 2, LateWeightShare: 0.3, Streaming: true},
		{Name: "bulk", LatencyObjective: 1_000_000, TokenObjective: 300_000, Deadline: args.Deadline.Microseconds(), PriorityWeight: 2, LateWeightShare: 0.3, Streaming: true}}
	o := gateway.Options{Name: "teams", Discovery: f.serveDiscovery(), Seed: args.Seed, CachedList: httpwire.EndpointList{Generation: httpwire.NoGeneration}, MaxInFlight: 4000, MaxClientConns: 4000, OverflowConns: 16, MaxReplicaConns: 2000,
		MaxBodyBytes: 1 << 20, ConnectTimeout: time.Second, ReplicaConnIdleTimeout: 30 * time.Second, ClientConnIdleTimeout: 30 * time.Second, StreamIdleTimeout: 5 * time.Second,
		HealthCheckTimeout: time.Second, MaxPollInterval: 10 * time.Second, WatchWait: 2 * time.Second, DiscoveryTimeout: time.Second,
		DrainAcceptPeriod: 100 * time.Millisecond,
		Settings: balancer.Settings{Gateways: 1, Zone: "here", Zones: []string{"here"}, Kinds: []string{"toy"}, Classes: classes, MaxAttempts: 3,
			OverQuotaWeight: 0.05, MayHealthCheck: true}}
	o.Settings.Tick, o.Settings.PollDiscovery, o.Settings.ReportSource, o.Settings.MayCancel = 2000, true, balancer.ReportInline, true
	o.Settings.InitialCapacity, o.Settings.OverloadMultiple, o.Settings.SlowStartFor, o.Settings.OverloadWindow = 0.3, 3, 8e6, 1.5e6
	o.Settings.StreamsPerConn, o.Settings.ConnIdleTimeout = 1, 60e6
	if !args.Off {
		o.Contracts = contracts()
	}
	g, err := gateway.New(o)
	exitOn(err)
	l, addr := listen()
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = g.Serve(ctx, l) }() // returns when stop is called
	return addr, g, cancel
}

// contracts returns the teams' contracts, whose sum is the fleet's capacity.
func contracts() *gateway.Contracts {
	c := &gateway.Contracts{Settings: contract.Settings{Location: time.UTC, BorrowPoolSeconds: 1, UnknownTenantWeight: 0.05}}
	for i, name := range teamNames {
		rate := quotaShares[i] * args.Rate * outputTokens * float64(contract.Token)
		c.Teams = append(c.Teams, contract.Terms{
			Team:            name,
			Tenants:         []string{name},
			Rate:            rate,
			Burst:           contract.Units(rate),
			OverQuotaWeight: 0.001,
			Prices:          map[string]contract.Price{"agent": {OutputToken: 1}, "bulk": {OutputToken: 1}},
		})
	}
	return c
}

// tally counts one team's requests and the served ones among them.
type tally struct {
	mu                     sync.Mutex
	sent                   []int // by second of the phase
	served                 []int // by the second in which the request was sent
	agentSent, agentServed int
}

// count records the outcome of a request that was sent in the given second of the phase.
func (t *tally) count(second int, agent, served bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for len(t.sent) <= second {
		t.sent, t.served = append(t.sent, 0), append(t.served, 0)
	}
	t.sent[second]++
	if agent {
		t.agentSent++
	}
	if served {
		t.served[second]++
		if agent {
			t.agentServed++
		}
	}
}

// runPhase sends requests at each team's rate, in requests per second, for the duration of --for. It returns when all
// have ended.
func runPhase(client *http.Client, addr string, rates []float64, number int) []*tally {
	var tallies []*tally
	var tasks sync.WaitGroup
	begin := time.Now()
	for team := range teamNames {
		t := &tally{}
		tallies = append(tallies, t)
		if rates[team] <= 0 {
			continue
		}
		tasks.Go(func() {
			rng := rand.New(rand.NewPCG(args.Seed, uint64(number*10+team)))
			next := begin
			for n := 0; ; n++ {
				gap := 1.0
				if args.Random {
					gap = rng.ExpFloat64()
				}
				next = next.Add(time.Duration(gap / rates[team] * 1e9))
				at := next.Sub(begin)
				if at > args.For {
					return
				}
				time.Sleep(time.Until(next))
				agent := team > 0 && n%3 == 0
				id := fmt.Sprintf("p%d-%d-%d", number, team, n)
				tasks.Go(func() { t.count(int(at/time.Second), agent, send(client, addr, team, agent, id)) })
			}
		})
	}
	tasks.Wait()
	return tallies
}

// send sends a request and reports whether it was served completely.
func send(client *http.Client, addr string, team int, agent bool, id string) bool {
	ctx, stop := context.WithTimeout(context.Background(), requestTimeout)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/chat/completions", strings.NewReader(`{"model":"chat","stream":true}`))
	if err != nil {
		panic(err)
	}
	class := "bulk"
	if agent {
		class = "agent"
	}
	for key, v := range map[string]string{"Req-Id": id, "Req-Kind": class, "Req-Owner": teamNames[team], "Req-Deadline": fmt.Sprintf("%dm", args.Deadline.Milliseconds()),
		"Req-Extra": fmt.Sprintf("prompt_len=100,max_out=%d", outputTokens)} {
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

// result is a team's result in a phase.
type result struct {
	Phase   string    `json:"phase"`
	Team    string    `json:"team"`
	Sent    float64   `json:"sent_per_s"`
	Served  float64   `json:"served_per_s"`
	Share   float64   `json:"share"` // fraction of all teams' served requests
	Worst   float64   `json:"worst_window"`
	Agent   float64   `json:"agent_served"`
	Windows []float64 `json:"windows"` // requests served in each window, divided by the contract's quota or by the requests sent, whichever is less
}

// results returns each team's result in a phase, without the warm-up.
func results(phase string, tallies []*tally) (list []result) {
	seconds := int(args.For / time.Second)
	totalServed := 0
	for _, t := range tallies {
		totalServed += sum(t.served, warmUpSeconds, seconds)
	}
	for team, t := range tallies {
		served := sum(t.served, warmUpSeconds, seconds)
		r := result{
			Phase:  phase,
			Team:   teamNames[team],
			Sent:   float64(sum(t.sent, warmUpSeconds, seconds)) / float64(seconds-warmUpSeconds),
			Served: float64(served) / float64(seconds-warmUpSeconds),
			Share:  float64(served) / math.Max(1, float64(totalServed)),
		}
		for from := warmUpSeconds; from+windowSeconds <= min(seconds, len(t.sent)); from++ {
			sent := sum(t.sent, from, from+windowSeconds)
			if sent == 0 {
				continue
			}
			due := math.Min(float64(sent), windowSeconds*quotaShares[team]*args.Rate)
			share := float64(sum(t.served, from, from+windowSeconds)) / due
			r.Windows = append(r.Windows, share)
			r.Worst = math.Max(r.Worst, math.Abs(share-1))
		}
		if t.agentSent > 0 {
			r.Agent = float64(t.agentServed) / float64(t.agentSent)
		}
		list = append(list, r)
	}
	return list
}

// sum adds up the counts of the seconds in [from, to).
func sum(counts []int, from, to int) (total int) {
	for second := from; second < min(to, len(counts)); second++ {
		total += counts[second]
	}
	return total
}

func main() {
	kong.Parse(&args, kong.Description("Measures contracts of three teams on loopback.\n\nExample:\n  teams --for 40s --surge 10"))
	slog.SetDefault(slog.New(slog.DiscardHandler))
	addr, g, stop := startGateway()
	defer stop()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000, DisableCompression: true}}
	calm, surge := make([]float64, 3), make([]float64, 3)
	for i, p := range quotaShares {
		calm[i] = args.Calm * p * args.Rate
		surge[i] = calm[i]
	}
	surge[0] = args.Surge * quotaShares[0] * args.Rate
	if args.Alone {
		calm[1], calm[2], surge[1], surge[2] = 0, 0, 0, 0
	}
	var list []result
	list = append(list, results("calm", runPhase(client, addr, calm, 1))...)
	list = append(list, results("surge", runPhase(client, addr, surge, 2))...)
	if args.JSON {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		exitOn(encoder.Encode(list))
		return
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "phase\tteam\tsent/s\tserved/s\tshare\tworst 10 s window\tagent served\t")
	for _, r := range list {
		fmt.Fprintf(w, "%s\t%s\t%.1f\t%.1f\t%.1f%%\t%.1f%%\t%.2f%%\t\n", r.Phase, r.Team, r.Sent, r.Served, 100*r.Share, 100*r.Worst, 100*r.Agent)
	}
	w.Flush()
	accounts, _ := g.Accounts(context.Background()) // empty without contracts
	for _, a := range accounts {
		fmt.Printf("%s: taken %d, over %d, refused %d\n", a.Team, a.Counters.Admitted, a.Counters.OverQuota, a.Counters.Rejected)
	}
}
