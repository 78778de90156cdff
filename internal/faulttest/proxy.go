package faulttest

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// proxyMode is what a fault proxy does to what goes through it.
type proxyMode uint8

const (
	proxyPasses  proxyMode = iota
	proxySilent            // takes connections, and passes nothing on
	proxyRefuses           // ends each connection at once
	proxySlow              // passes on late
	proxyPieces            // passes on byte by byte
	proxyModes   int       = iota
)

func (m proxyMode) String() string {
	return [...]string{"passes", "silent", "refuses", "slow", "in pieces"}[m]
}

const (
	// proxyLate is how late a slow proxy passes on what came.
	proxyLate = 300 * time.Millisecond
	// proxyEach is what a proxy passes on at once at most.
	proxyEach = 16 << 10
)

// proxy stands before a server and does it harm, for all who connect alike.
type proxy struct {
	addr string
	to   string
	l    net.Listener
	mu   sync.Mutex
	mode proxyMode
	news chan struct{} // closed at the next change of mode
	all  sync.WaitGroup
	ctx  context.Context
	stop context.CancelFunc
}

func newProxy(to string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{addr: l.Addr().String(), to: to, l: l, news: make(chan struct{})}
	p.ctx, p.stop = context.WithCancel(context.Background())
	go p.accept()
	return p, nil
}

// set changes what happens from now on, to open connections too.
func (p *proxy) set(mode proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	close(p.news)
	p.news = make(chan struct{})
}

func (p *proxy) now() (proxyMode, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.news
}

func (p *proxy) close() {
	p.stop()
	p.l.Close()
	p.all.Wait()
}

func (p *proxy) accept() {
	for {
		c, err := p.l.Accept()
		if err != nil {
			return
		}
		if mode, _ := p.now(); mode == proxyRefuses {
			c.Close()
			continue
		}
		p.all.Go(func() { p.connection(c) })
	}
}

// connection passes on both ways until one side ends.
func (p *proxy) connection(c net.Conn) {
	defer c.Close()
	to, err := net.Dial("tcp", p.to)
	if err != nil {
		return
	}
	defer to.Close()
	end := context.AfterFunc(p.ctx, func() { c.Close(); to.Close() })
	defer end()
	var both sync.WaitGroup
	both.Go(func() { p.pass(to, c); to.Close(); c.Close() })
	both.Go(func() { p.pass(c, to); to.Close(); c.Close() })
	both.Wait()
}

// pass passes one way on.
func (p *proxy) pass(out io.Writer, in io.Reader) {
	buf := make([]byte, proxyEach)
	for {
		n, err := in.Read(buf)
		if n > 0 && !p.write(out, buf[:n]) || err != nil {
			return
		}
	}
}

// write passes a piece on as the mode has it, and tells whether the connection goes on.
func (p *proxy) write(out io.Writer, text []byte) bool {
	for {
		mode, news := p.now()
		switch mode {
		case proxyRefuses:
			return false
		case proxySilent:
			select {
			case <-news:
				continue
			case <-p.ctx.Done():
				return false
			}
		case proxySlow:
			time.Sleep(proxyLate)
		case proxyPieces:
			for i := range text {
				if _, err := out.Write(text[i : i+1]); err != nil {
					return false
				}
			}
			return true
		}
		_, err := out.Write(text)
		return err == nil
	}
}
