package scaletest

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"archknot/internal/httpwire"
)

// loadGenerator sends random requests to gateways, with exponentially distributed intervals.
type loadGenerator struct {
	rate         float64 // requests per second and gateway
	seed         uint64
	gatewayCount atomic.Uint64
	ctx          context.Context
	stop         context.CancelFunc
	tasks        sync.WaitGroup
	served       atomic.Int64 // requests with a complete 200 response
	unserved     atomic.Int64 // requests that failed, or were not sent because maxConcurrent were in flight
}

// newLoadGenerator returns a load generator whose traffic ends when the context ends or close is called.
func newLoadGenerator(ctx context.Context, rate float64, seed uint64) *loadGenerator {
	ctx, stop := context.WithCancel(ctx)
	return &loadGenerator{rate: rate, seed: seed, ctx: ctx, stop: stop}
}

// close stops all traffic and waits for the requests in flight.
func (g *loadGenerator) close() {
	g.stop()
	g.tasks.Wait()
}

// maxConcurrent bounds the requests in flight at one gateway.
const maxConcurrent = 400

// requestTimeout bounds a request and its whole response.
const requestTimeout = 10 * time.Second

// startTraffic starts to send requests to a gateway, over the connections that dial returns, or over TCP to
// the address if dial is nil.
func (g *loadGenerator) startTraffic(address string, dial func(context.Context) (net.Conn, error)) {
	if g.rate <= 0 {
		return
	}
	transport := &http.Transport{
		MaxIdleConnsPerHost: maxConcurrent,
		MaxConnsPerHost:     maxConcurrent,
		DisableCompression:  true,
		IdleConnTimeout:     10 * time.Second,
	}
	if dial != nil {
		transport.DialContext = func(ctx context.Context, _, _ string) (net.Conn, error) { return dial(ctx) }
	}
	gateway := g.gatewayCount.Add(1)
	rng := rand.New(rand.NewPCG(g.seed, gateway))
	slots := make(chan struct{}, maxConcurrent)
	g.tasks.Go(func() {
		client := &http.Client{Transport: transport}
		defer transport.CloseIdleConnections()
		var sends sync.WaitGroup
		defer sends.Wait()
		for n := 0; pause(g.ctx, time.Duration(rng.ExpFloat64()/g.rate*float64(time.Second))); n++ {
			headers := randomHeaders(rng, fmt.Sprintf("s%x-%d-%d", g.seed, gateway, n))
			select {
			case slots <- struct{}{}:
			default:
				g.unserved.Add(1)
				continue
			}
			sends.Go(func() {
				defer func() { <-slots }()
				g.send(g.ctx, client, address, headers)
			})
		}
	})
}

// The parameters of random requests.
const (
	sessionCount = 100_000 // sessions at one gateway of a large fleet
	prefixCount  = 20_000  // shared prefixes at one gateway of a large fleet
	promptMedian = 300     // tokens
)

// randomHeaders returns the headers of a request with a random session, prefix and prompt length.
func randomHeaders(rng *rand.Rand, id string) http.Header {
	promptTokens := max(20, int(promptMedian*math.Exp(0.7*rng.NormFloat64())))
	h := http.Header{}
	h.Set("Req-Id", id)
	h.Set("Req-Kind", "chat")
	h.Set("Req-Owner", "chats")
	h.Set("Req-Key", fmt.Sprintf("%016x", 1+rng.Uint64N(sessionCount)))
	h.Set("Req-Deadline", "10000m")
	h.Set("Req-Extra", fmt.Sprintf("prefix=%016x,prompt_len=%d,prefix_len=%d,max_out=100", 1+rng.Uint64N(prefixCount), promptTokens, promptTokens/3))
	return h
}

// send sends one request and reads its response to the end.
func (g *loadGenerator) send(ctx context.Context, client *http.Client, address string, headers http.Header) {
	ctx, stop := context.WithTimeout(ctx, requestTimeout)
	defer stop()
	body := bytes.NewReader([]byte(`{"model":"m","stream":true,"messages":[{"role":"user","content":"` + string(bytes.Repeat([]byte("word "), 60)) + `"}]}`))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+httpwire.CompletionsPath, body)
	if err != nil {
		panic(err) // the address is a gateway's own, and all other parts are constants
	}
	req.Header = headers
	resp, err := client.Do(req)
	if err != nil {
		g.count(false)
		return
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	g.count(err == nil && resp.StatusCode == http.StatusOK)
}

// count counts a request as served or unserved. A request that was cancelled by the end of the run is not
// counted.
func (g *loadGenerator) count(served bool) {
	switch {
	case served:
		g.served.Add(1)
	case g.ctx.Err() == nil:
		g.unserved.Add(1)
	}
}
