package maintenance

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// handoffTimeout bounds one exchange over the handoff socket.
const handoffTimeout = 100 * time.Millisecond

// handoff passes the orders in force to a process that is started beside this one, even where the
// directory of the orders file cannot be written. It uses a Unix socket in the abstract namespace: no
// file stands for it, and it ends with its process. All methods may be called from any goroutine.
type handoff struct {
	address string

	mu            sync.Mutex
	listener      net.Listener // nil: a predecessor owns the address, or abstract sockets are not available
	failureLogged bool         // that abstract sockets are not available

	listening atomic.Bool // whether listener is set
}

// listen begins to serve snapshots of a store to a successor, unless a predecessor still owns the
// address. It is called again and again until it succeeds.
func (h *handoff) listen(s *Store) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.listener != nil {
		return
	}
	listener, err := net.Listen("unix", h.address)
	if err != nil {
		if !errors.Is(err, syscall.EADDRINUSE) && !h.failureLogged {
			h.failureLogged = true
			slog.Warn("maintenance_orders_handoff_failed", "err", err)
		}
		return
	}
	h.listener = listener
	h.listening.Store(true)
	go serveSnapshots(listener, s)
}

// serveSnapshots writes the state of a store to each connection of the same user, until the listener
// is closed.
func serveSnapshots(listener net.Listener, s *Store) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		if isSameUser(conn) {
			_ = conn.SetDeadline(time.Now().Add(handoffTimeout))
			_, _ = conn.Write(s.snapshot()) // a successor that did not receive it queries again
		}
		conn.Close()
	}
}

// queryOutcome is the outcome of a query to the predecessor.
type queryOutcome uint8

const (
	noPredecessor           queryOutcome = iota // no other process owns the address
	predecessorUnresponsive                     // a predecessor exists, but gave no usable answer
	predecessorResponded                        // a predecessor answered with its state
)

// queryPredecessor asks the predecessor for its state. The state is set only if the outcome is
// predecessorAnswered.
func (h *handoff) queryPredecessor() (state, queryOutcome) {
	if h.listening.Load() { // the owner of the address has no predecessor
		return state{}, noPredecessor
	}
	conn, err := net.DialTimeout("unix", h.address, handoffTimeout)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return state{}, noPredecessor
	}
	if err != nil {
		return state{}, predecessorUnresponsive
	}
	defer conn.Close()
	if !isSameUser(conn) {
		return state{}, noPredecessor
	}
	_ = conn.SetDeadline(time.Now().Add(handoffTimeout))
	content, err := io.ReadAll(io.LimitReader(conn, maxStateBytes))
	if err != nil {
		return state{}, predecessorUnresponsive
	}
	predecessor, err := parseState(content)
	if err != nil {
		return state{}, predecessorUnresponsive
	}
	return predecessor, predecessorResponded
}

func (h *handoff) close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.listener != nil {
		h.listener.Close()
	}
}

// peerCredentials returns the credentials of the process at the other end of a Unix socket; nil if they
// cannot be read.
func peerCredentials(conn net.Conn) *unix.Ucred {
	unixConn, ok := conn.(*net.UnixConn)
	if !ok {
		return nil
	}
	raw, err := unixConn.SyscallConn()
	if err != nil {
		return nil
	}
	var credentials *unix.Ucred
	_ = raw.Control(func(fd uintptr) {
		credentials, _ = unix.GetsockoptUcred(int(fd), unix.SOL_SOCKET, unix.SO_PEERCRED) // nil on error
	})
	return credentials
}

func isSameUser(conn net.Conn) bool {
	credentials := peerCredentials(conn)
	return credentials != nil && credentials.Uid == uint32(os.Geteuid())
}
