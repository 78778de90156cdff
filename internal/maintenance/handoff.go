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

// handoff sends the current orders to a successor that is started while this process runs, even if the
// directory of the orders file is not writable. It uses a Unix socket in the abstract namespace, which has
// no file and ends with its process. All methods may be called from any goroutine.
type handoff struct {
	address string

	mu            sync.Mutex
	listener      net.Listener // nil: a predecessor owns the address, or listening failed
	failureLogged bool         // whether a failure to listen was logged

	listening atomic.Bool // whether listener is set
}

// listen starts to serve snapshots of a store to a successor, unless a predecessor still owns the
// address. It is called periodically, and does nothing once it has succeeded.
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
			_, _ = conn.Write(s.snapshot()) // a successor that did not receive it sends another query
		}
		conn.Close()
	}
}

// queryOutcome is the outcome of a query to the predecessor.
type queryOutcome uint8

const (
	noPredecessor           queryOutcome = iota // no other process of this user owns the address
	predecessorUnresponsive                     // a predecessor exists, but sent no valid state
	predecessorResponded                        // a predecessor sent its state
)

// queryPredecessor requests the state of the predecessor. The state is set only if the outcome is
// predecessorResponded.
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
