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
	proxyForward    proxyMode = iota
	proxySilent               // takes connections, and passes nothing on
	proxyRefuse               // ends each connection at once
	proxyDelay                // passes on late
	proxyByteByByte           // passes on byte by byte
	proxyModeCount  int       = iota
)

func (m proxyMode) String() string {
	return [...]string{"passes", "silent", "refuses", "slow", "in pieces"}[m]
}

const (
	// proxyDelayTime is how late a slow proxy passes on what came.
	proxyDelayTime = 300 * time.Millisecond
	// proxyBufferSize is what a proxy passes on at once at most.
	proxyBufferSize = 16 << 10
)

// faultProxy stands before a server and does it harm, for all who connect alike.
type faultProxy struct {
	addr        string
	target      string
	listener    net.Listener
	mu          sync.Mutex
	mode        proxyMode
	modeChanged chan struct{} // closed at the next change of mode
	connections sync.WaitGroup
	ctx         context.Context
	stop        context.CancelFunc
}

func newProxy(to string) (*faultProxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &faultProxy{addr: l.Addr().String(), target: to, listener: l, modeChanged: make(chan struct{})}
	p.ctx, p.stop = context.WithCancel(context.Background())
	go p.accept()
	return p, nil
}

// setMode changes what happens from now on, to open connections too.
func (p *faultProxy) setMode(mode proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	close(p.modeChanged)
	p.modeChanged = make(chan struct{})
}

func (p *faultProxy) currentMode() (proxyMode, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.modeChanged
}

func (p *faultProxy) close() {
	p.stop()
	p.listener.Close()
	p.connections.Wait()
}

func (p *faultProxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if mode, _ := p.currentMode(); mode == proxyRefuse {
			c.Close()
			continue
		}
		p.connections.Go(func() { p.forwardConn(c) })
	}
}

// forwardConn passes on both ways until one side ends.
func (p *faultProxy) forwardConn(c net.Conn) {
	defer c.Close()
	to, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer to.Close()
	end := context.AfterFunc(p.ctx, func() { c.Close(); to.Close() })
	defer end()
	var both sync.WaitGroup
	both.Go(func() { p.forward(to, c); to.Close(); c.Close() })
	both.Go(func() { p.forward(c, to); to.Close(); c.Close() })
	both.Wait()
}

// forward passes one way on.
func (p *faultProxy) forward(out io.Writer, in io.Reader) {
	buf := make([]byte, proxyBufferSize)
	for {
		n, err := in.Read(buf)
		if n > 0 && !p.write(out, buf[:n]) || err != nil {
			return
		}
	}
}

// write passes a piece on as the mode has it, and tells whether the connection goes on.
func (p *faultProxy) write(out io.Writer, text []byte) bool {
	for {
		mode, news := p.currentMode()
		switch mode {
		case proxyRefuse:
			return false
		case proxySilent:
			select {
			case <-news:
				continue
			case <-p.ctx.Done():
				return false
			}
		case proxyDelay:
			time.Sleep(proxyDelayTime)
		case proxyByteByByte:
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
