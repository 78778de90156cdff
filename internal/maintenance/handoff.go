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
	name  string
	mu    sync.Mutex
	l     net.Listener // nil: a predecessor has the name, or there are no such sockets
	holds atomic.Bool  // l is set
	lacks bool         // that there are none was told
}

// handoffWithin bounds a look at the predecessor.
const handoffWithin = 100 * time.Millisecond

// offer begins to tell, once the name is free.
func (h *handoff) offer(s *Store) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.l != nil {
		return
	}
	l, err := net.Listen("unix", h.name)
	if err != nil {
		if !errors.Is(err, syscall.EADDRINUSE) && !h.lacks {
			h.lacks = true
			slog.Warn("maintenance_orders_handoff_failed", "err", err)
		}
		return
	}
	h.l = l
	h.holds.Store(true)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if sameUser(c) {
				_ = c.SetDeadline(time.Now().Add(handoffWithin))
				_, _ = c.Write(s.current())
			}
			c.Close()
		}
	}()
}

// answer is what became of a look at the predecessor.
type answer uint8

const (
	nobody answer = iota // there is none
	silent               // there is one, which does not tell
	told
)

// fetch asks the predecessor.
func (h *handoff) fetch() (before state, a answer) {
	if h.holds.Load() { // whoever has the name has no predecessor
		return before, nobody
	}
	c, err := net.DialTimeout("unix", h.name, handoffWithin)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			return before, nobody
		}
		return before, silent
	}
	defer c.Close()
	if !sameUser(c) {
		return before, nobody
	}
	_ = c.SetDeadline(time.Now().Add(handoffWithin))
	text, err := io.ReadAll(io.LimitReader(c, mostText))
	if err != nil {
		return before, silent
	}
	if before, err = parse(text); err != nil {
		return before, silent
	}
	return before, told
}

func (h *handoff) close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.l != nil {
		h.l.Close()
	}
}

// credentials are those of the process at the other end.
func credentials(c net.Conn) *unix.Ucred {
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

func sameUser(c net.Conn) bool {
	cred := credentials(c)
	return cred != nil && cred.Uid == uint32(os.Geteuid())
}
