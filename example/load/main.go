// Command load sends requests in the platform's format to a gateway on this machine, at a given mean rate and with a
// bounded number in flight, and prints the counts of their outcomes.
package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/alecthomas/kong"
)

var args struct {
	Addr     string        `default:"127.0.0.1:8080" help:"The gateway: a loopback address."`
	For      time.Duration `default:"30s" help:"How long."`
	Rate     float64       `default:"20" help:"Requests a second."`
	Most     int           `default:"200" help:"Requests at once; what comes due beyond them is left out and counted."`
	Classes  []string      `default:"chat" help:"Classes to draw from."`
	Tenants  []string      `default:"me" help:"Tenants to draw from."`
	Deadline time.Duration `default:"3s" help:"What clients wait for the first token."`
	Sessions int           `default:"200" help:"Conversations."`
	Seed     uint64        `default:"1" help:"For the draws."`
}

// tally counts the outcomes of requests.
type tally struct {
	mu         sync.Mutex
	ends       map[string]int
	firstEvent *hdrhistogram.Histogram // microseconds
}

// count records the outcome of a request. firstEvent is the time to its first event; 0: it had none.
func (t *tally) count(end string, firstEvent time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ends[end]++
	if firstEvent > 0 {
		_ = t.firstEvent.RecordValue(firstEvent.Microseconds()) // values above the histogram's maximum are not recorded
	}
}

func main() {
	kong.Parse(&args, kong.Description("Sends a gateway on this machine a bounded stream of requests.\n\nExample:\n  load --rate 40 --for 10m"))
	host, _, err := net.SplitHostPort(args.Addr)
	if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
		fmt.Fprintln(os.Stderr, "load: --addr: expected a loopback address and port, such as 127.0.0.1:8080")
		os.Exit(2)
	}
	t := &tally{ends: map[string]int{}, firstEvent: hdrhistogram.New(1, 60_000_000, 3)}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: args.Most, DisableCompression: true}}
	begin := time.Now()
	sendAll(t, client)
	fmt.Printf("seconds=%.1f", time.Since(begin).Seconds())
	t.print()
}

// sendAll sends requests with Poisson arrivals for the duration of --for and waits until all have ended.
func sendAll(t *tally, client *http.Client) {
	rng := rand.New(rand.NewPCG(args.Seed, 0))
	slots := make(chan struct{}, args.Most)
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
	begin := time.Now()
	next := begin
	for n := 0; ; n++ {
		next = next.Add(time.Duration(rng.ExpFloat64() / args.Rate * 1e9))
		if next.Sub(begin) > args.For {
			return
		}
		time.Sleep(time.Until(next))
		req := newRequest(rng, n)
		select {
		case slots <- struct{}{}:
		default:
			t.count("left out", 0)
			continue
		}
		inFlight.Go(func() {
			end, firstEvent := send(client, req)
			t.count(end, firstEvent)
			<-slots
		})
	}
}

// print prints the counts and the percentiles of the time to the first event on one line.
func (t *tally) print() {
	for _, end := range slices.Sorted(maps.Keys(t.ends)) {
		fmt.Printf(" %s=%d", strings.ReplaceAll(end, " ", "_"), t.ends[end])
	}
	fmt.Printf(" first_ms: p50=%.1f p90=%.1f p99=%.1f max=%.1f\n", ms(t.firstEvent.ValueAtQuantile(50)), ms(t.firstEvent.ValueAtQuantile(90)),
		ms(t.firstEvent.ValueAtQuantile(99)), ms(t.firstEvent.Max()))
}

func ms(us int64) float64 { return float64(us) / 1000 }

// newRequest returns the nth request, with a random class, tenant, session, prefix and length.
func newRequest(rng *rand.Rand, n int) *http.Request {
	text := strings.Repeat("word ", 20+rng.IntN(200))
	body := fmt.Sprintf(`{"model":"chat","stream":true,"max_tokens":100,"messages":[{"role":"user","content":%q}]}`, text)
	req, err := http.NewRequest(http.MethodPost, "http://"+args.Addr+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	prefix := rng.IntN(12)
	req.Header.Set("Req-Id", fmt.Sprintf("%08x%08x", uint32(args.Seed), n))
	req.Header.Set("Req-Kind", args.Classes[rng.IntN(len(args.Classes))])
	req.Header.Set("Req-Owner", args.Tenants[rng.IntN(len(args.Tenants))])
	req.Header.Set("Req-Key", fmt.Sprintf("%016x", 1+rng.IntN(args.Sessions)))
	req.Header.Set("Req-Deadline", fmt.Sprintf("%dm", args.Deadline.Milliseconds()))
	req.Header.Set("Req-Extra", fmt.Sprintf("prefix=%016x,prompt_len=%d,prefix_len=%d,max_out=100", prefix+1, len(text)/4, len(text)/8))
	return req
}

// send sends a request and returns its outcome and the time to its first event.
func send(client *http.Client, req *http.Request) (end string, firstEvent time.Duration) {
	ctx, stop := context.WithTimeout(context.Background(), time.Minute)
	defer stop()
	begin := time.Now()
	resp, err := client.Do(req.WithContext(ctx))
	if err != nil {
		return "failed", 0
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, resp.Body) // so that the connection can be reused
		return fmt.Sprint("status ", resp.StatusCode), 0
	}
	var firstByte [1]byte
	if _, err := io.ReadFull(resp.Body, firstByte[:]); err != nil {
		return "broken", 0
	}
	firstEvent = time.Since(begin)
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return "broken", firstEvent
	}
	return "served", firstEvent
}
