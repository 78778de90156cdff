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

// handoff tells a process that is started beside this one what is in force here, also where the
// folder cannot be written. It is a socket in the system's abstract names: no file stands for it, and
// it ends with its process.
type handoff struct {
	address       string
	mu            sync.Mutex
	listener      net.Listener // nil: a predecessor has the name, or there are no such sockets
	listening     atomic.Bool  // l is set
	failureLogged bool         // that there are none was told
}

// handoffTimeout bounds a look at the predecessor.
const handoffTimeout = 100 * time.Millisecond

// listen begins to tell, once the name is free.
func (h *handoff) listen(s *Store) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.listener != nil {
		return
	}
	l, err := net.Listen("unix", h.address)
	if err != nil {
		if !errors.Is(err, syscall.EADDRINUSE) && !h.failureLogged {
			h.failureLogged = true
			slog.Warn("maintenance_orders_handoff_failed", "err", err)
		}
		return
	}
	h.listener = l
	h.listening.Store(true)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if isSameUser(c) {
				_ = c.SetDeadline(time.Now().Add(handoffTimeout))
				_, _ = c.Write(s.snapshot())
			}
			c.Close()
		}
	}()
}

// queryOutcome is what became of a look at the predecessor.
type queryOutcome uint8

const (
	noPredecessor     queryOutcome = iota // there is none
	predecessorSilent                     // there is one, which does not tell
	predecessorAnswered
)

// queryPredecessor asks the predecessor.
func (h *handoff) queryPredecessor() (before state, a queryOutcome) {
	if h.listening.Load() { // whoever has the name has no predecessor
		return before, noPredecessor
	}
	c, err := net.DialTimeout("unix", h.address, handoffTimeout)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			return before, noPredecessor
		}
		return before, predecessorSilent
	}
	defer c.Close()
	if !isSameUser(c) {
		return before, noPredecessor
	}
	_ = c.SetDeadline(time.Now().Add(handoffTimeout))
	text, err := io.ReadAll(io.LimitReader(c, maxStateBytes))
	if err != nil {
		return before, predecessorSilent
	}
	if before, err = parseState(text); err != nil {
		return before, predecessorSilent
	}
	return before, predecessorAnswered
}

func (h *handoff) close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.listener != nil {
		h.listener.Close()
	}
}

// peerCredentials are those of the process at the other end.
func peerCredentials(c net.Conn) *unix.Ucred {
	u, ok := c.(*net.UnixConn)
	if !ok {
		return nil
	}
	raw, err := u.SyscallConn()
	if err != nil {
		return nil
	}
	var cred *unix.Ucred
	_ = raw.Control(func(fd uintptr) { cred, _ = unix.GetsockoptUcred(int(fd), unix.SOL_SOCKET, unix.SO_PEERCRED) })
	return cred
}

func isSameUser(c net.Conn) bool {
	cred := peerCredentials(c)
	return cred != nil && cred.Uid == uint32(os.Geteuid())
}
