package connpool

import (
	"bufio"
	"net"
	"time"

	"archknot/internal/controlstats"
)

// readBufferSize is the size of a connection's read buffer, in bytes.
const readBufferSize = 2048

// Conn is a pooled connection to a replica or to discovery. It carries one request at a time and is
// used by one goroutine at a time.
type Conn struct {
	net.Conn
	Reader *bufio.Reader // buffers reads from this connection
	Reused bool          // the connection has carried a request before

	meter    *controlstats.Meter
	peerKey  string
	openedAt time.Time
	lastUsed time.Time
}

func newConn(raw net.Conn, peerKey string) *Conn {
	c := &Conn{Conn: raw, peerKey: peerKey, openedAt: time.Now()}
	c.Reader = bufio.NewReaderSize(c, readBufferSize)
	return c
}

// StartCall records a new call in the meter, which also counts the connection's further traffic.
func (c *Conn) StartCall(meter *controlstats.Meter) {
	c.meter = meter
	meter.AddCall(!c.Reused)
}

// Read reads from the connection and adds the bytes to the meter.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.AddBytesIn(n)
	return n, err
}

// Write writes to the connection and adds the bytes to the meter.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.AddBytesOut(n)
	return n, err
}

// WriteBuffers writes several buffers, with one system call where possible, and adds the bytes to the meter.
func (c *Conn) WriteBuffers(buffers net.Buffers) error {
	n, err := buffers.WriteTo(c.Conn)
	c.meter.AddBytesOut(int(n))
	return err
}

// reusable reports whether an idle connection can carry another request. It checks the socket's state,
// because a request that is written to a connection closed by the peer counts as sent and failed.
func (c *Conn) reusable(idleTimeout time.Duration) bool {
	if time.Since(c.lastUsed) >= idleTimeout || c.Reader.Buffered() > 0 {
		return false
	}
	return openWithoutData(c.Conn)
}

// Age returns how long the connection has been open.
func (c *Conn) Age() time.Duration { return time.Since(c.openedAt) }
