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

// loadGenerator sends drawn requests to gateways.
type loadGenerator struct {
	rate         float64 // a second, at each gateway
	seed         uint64
	gatewayCount atomic.Uint64
	ctx          context.Context
	stop         context.CancelFunc
	tasks        sync.WaitGroup
	served       atomic.Int64
	unserved     atomic.Int64
}

func newLoadGenerator(rate float64, seed uint64) *loadGenerator {
	ctx, stop := context.WithCancel(context.Background())
	return &loadGenerator{rate: rate, seed: seed, ctx: ctx, stop: stop}
}

func (d *loadGenerator) close() {
	d.stop()
	d.tasks.Wait()
}

// maxConcurrent bounds the requests that a gateway's clients have out.
const maxConcurrent = 400

// startTraffic begins to send to a gateway, over TCP or as dial does.
func (d *loadGenerator) startTraffic(address string, dial func(context.Context) (net.Conn, error)) {
	if d.rate <= 0 {
		return
	}
	transport := &http.Transport{MaxIdleConnsPerHost: maxConcurrent, MaxConnsPerHost: maxConcurrent, DisableCompression: true, IdleConnTimeout: 10 * time.Second}
	if dial != nil {
		transport.DialContext = func(ctx context.Context, _, _ string) (net.Conn, error) { return dial(ctx) }
	}
	gateway := d.gatewayCount.Add(1)
	rng := rand.New(rand.NewPCG(d.seed, gateway))
	slots := make(chan struct{}, maxConcurrent)
	d.tasks.Go(func() {
		client := &http.Client{Transport: transport}
		defer transport.CloseIdleConnections()
		var sends sync.WaitGroup
		defer sends.Wait()
		for n := 0; pause(d.ctx, time.Duration(rng.ExpFloat64()/d.rate*float64(time.Second))); n++ {
			head := randomHeaders(rng, fmt.Sprintf("s%x-%d-%d", d.seed, gateway, n))
			select {
			case slots <- struct{}{}:
			default:
				d.unserved.Add(1)
				continue
			}
			sends.Go(func() {
				defer func() { <-slots }()
				d.send(client, address, head)
			})
		}
	})
}

// Draws of the traffic: as many sessions and shared prefixes as one gateway sees of a large fleet's.
const (
	sessionCount = 100_000
	prefixCount  = 20_000
	promptMedian = 300
)

// randomHeaders draws a request's headers.
func randomHeaders(rng *rand.Rand, id string) http.Header {
	prompt := max(20, int(promptMedian*math.Exp(0.7*rng.NormFloat64())))
	h := http.Header{}
	h.Set("Req-Id", id)
	h.Set("Req-Kind", "chat")
	h.Set("Req-Owner", "chats")
	h.Set("Req-Key", fmt.Sprintf("%016x", 1+rng.Uint64N(sessionCount)))
	h.Set("Req-Deadline", "10000m")
	h.Set("Req-Extra", fmt.Sprintf("prefix=%016x,prompt_len=%d,prefix_len=%d,max_out=100", 1+rng.Uint64N(prefixCount), prompt, prompt/3))
	return h
}

// send sends one request and reads its answer to the end.
func (d *loadGenerator) send(client *http.Client, address string, head http.Header) {
	ctx, stop := context.WithTimeout(d.ctx, 10*time.Second)
	defer stop()
	body := bytes.NewReader([]byte(`{"model":"m","stream":true,"messages":[{"role":"user","content":"` + string(bytes.Repeat([]byte("word "), 60)) + `"}]}`))
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+httpwire.CompletionsPath, body)
	if err != nil {
		panic(err) // its parts are constants and an address of our own
	}
	r.Header = head
	resp, err := client.Do(r)
	if err != nil {
		d.count(false)
		return
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	d.count(err == nil && resp.StatusCode == http.StatusOK)
}

func (d *loadGenerator) count(served bool) {
	switch {
	case served:
		d.served.Add(1)
	case d.ctx.Err() == nil: // not cut off by the end of the run
		d.unserved.Add(1)
	}
}
