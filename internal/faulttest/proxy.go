package faulttest

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// proxyMode selects how a fault proxy handles its connections.
type proxyMode uint8

// The modes of a proxy.
const (
	proxyForward    proxyMode = iota
	proxyBlackhole            // accepts connections and forwards nothing
	proxyRefuse               // closes new connections at once, and open ones at their next data
	proxyDelay                // forwards after proxyDelayTime
	proxyByteByByte           // forwards each byte in a write of its own
	proxyModeCount  int       = iota
)

// String returns the mode's name in the timeline of a soak.
func (m proxyMode) String() string {
	return [...]string{"passes", "silent", "refuses", "slow", "in pieces"}[m]
}

const (
	// proxyDelayTime is the delay of each read's data in the mode proxyDelay.
	proxyDelayTime = 300 * time.Millisecond
	// proxyBufferSize is the maximum number of bytes that a proxy forwards at once.
	proxyBufferSize = 16 << 10
)

// faultProxy forwards TCP connections to a server. Its mode applies to all connections.
type faultProxy struct {
	addr        string
	target      string
	listener    net.Listener
	connections sync.WaitGroup
	ctx         context.Context
	stop        context.CancelFunc

	mu          sync.Mutex
	mode        proxyMode
	modeChanged chan struct{} // closed with the next change of mode
}

// newProxy starts a proxy for the server at target. The caller has to close it.
func newProxy(target string) (*faultProxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &faultProxy{addr: listener.Addr().String(), target: target, listener: listener, modeChanged: make(chan struct{})}
	p.ctx, p.stop = context.WithCancel(context.Background())
	go p.accept()
	return p, nil
}

// setMode changes the mode, also for open connections.
func (p *faultProxy) setMode(mode proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	close(p.modeChanged)
	p.modeChanged = make(chan struct{})
}

// currentMode returns the mode and a channel that is closed when the mode changes.
func (p *faultProxy) currentMode() (mode proxyMode, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.modeChanged
}

// close closes the listener and all connections, and waits until their goroutines have ended.
func (p *faultProxy) close() {
	p.stop()
	p.listener.Close()
	p.connections.Wait()
}

func (p *faultProxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		if mode, _ := p.currentMode(); mode == proxyRefuse {
			conn.Close()
			continue
		}
		p.connections.Go(func() { p.forwardConn(conn) })
	}
}

// forwardConn forwards in both directions until one direction ends or the proxy is closed.
func (p *faultProxy) forwardConn(client net.Conn) {
	defer client.Close()
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer server.Close()
	closeBoth := func() {
		server.Close()
		client.Close()
	}
	cancel := context.AfterFunc(p.ctx, closeBoth)
	defer cancel()
	var directions sync.WaitGroup
	directions.Go(func() { p.forward(server, client); closeBoth() })
	directions.Go(func() { p.forward(client, server); closeBoth() })
	directions.Wait()
}

// forward copies data in one direction until either side fails or ends.
func (p *faultProxy) forward(out io.Writer, in io.Reader) {
	buffer := make([]byte, proxyBufferSize)
	for {
		n, err := in.Read(buffer)
		if n > 0 && !p.write(out, buffer[:n]) || err != nil {
			return
		}
	}
}

// write writes data in the current mode, and reports whether the connection stays open.
func (p *faultProxy) write(out io.Writer, data []byte) bool {
	for {
		mode, changed := p.currentMode()
		switch mode {
		case proxyRefuse:
			return false
		case proxyBlackhole:
			select {
			case <-changed:
				continue
			case <-p.ctx.Done():
				return false
			}
		case proxyDelay:
			time.Sleep(proxyDelayTime)
		case proxyByteByByte:
			for i := range data {
				if _, err := out.Write(data[i : i+1]); err != nil {
					return false
				}
			}
			return true
		}
		_, err := out.Write(data)
		return err == nil
	}
}
