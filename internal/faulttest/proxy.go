package faulttest

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// proxyMode is what a fault proxy does to its connections.
type proxyMode uint8

// The modes of a proxy.
const (
	proxyForward    proxyMode = iota
	proxySilent               // accepts connections, and forwards nothing
	proxyRefuse               // closes each connection at once
	proxyDelay                // forwards with a delay
	proxyByteByByte           // forwards each byte in a write of its own
	proxyModeCount  int       = iota
)

// String returns the mode's name in a timeline.
func (m proxyMode) String() string {
	return [...]string{"passes", "silent", "refuses", "slow", "in pieces"}[m]
}

const (
	// proxyDelayTime is the delay of proxyDelay.
	proxyDelayTime = 300 * time.Millisecond
	// proxyBufferSize is the most bytes that a proxy forwards at once.
	proxyBufferSize = 16 << 10
)

// faultProxy forwards TCP connections to a server, with faults that are the same for all connections.
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

// newProxy starts a proxy to a server. It ends with close.
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

// setMode changes the mode, also of open connections.
func (p *faultProxy) setMode(mode proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	close(p.modeChanged)
	p.modeChanged = make(chan struct{})
}

// currentMode returns the mode, and a channel that is closed when it changes.
func (p *faultProxy) currentMode() (mode proxyMode, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.modeChanged
}

// close ends the proxy with all its connections.
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

// forwardConn forwards in both directions until one side ends.
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

// forward forwards in one direction.
func (p *faultProxy) forward(out io.Writer, in io.Reader) {
	buffer := make([]byte, proxyBufferSize)
	for {
		n, err := in.Read(buffer)
		if n > 0 && !p.write(out, buffer[:n]) || err != nil {
			return
		}
	}
}

// write forwards data in the current mode, and reports whether the connection continues.
func (p *faultProxy) write(out io.Writer, data []byte) bool {
	for {
		mode, changed := p.currentMode()
		switch mode {
		case proxyRefuse:
			return false
		case proxySilent:
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
