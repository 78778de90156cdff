package maintenance

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"archknot/internal/sockets"
)

// handoffTimeout bounds one exchange over the handoff socket.
const handoffTimeout = 100 * time.Millisecond

// maxProcesses bounds the processes of one gateway that run at the same time and hand orders to each other.
const maxProcesses = 4

// handoff exchanges the current orders between the processes of one gateway that run side by side, even if the
// directory of the orders file is not writable. Each process listens on a Unix socket in the abstract namespace,
// which has no file and ends with its process. All methods may be called from any goroutine.
//
// A process listens on the first free address, and on the first address of all as soon as that is free, because
// earlier versions know no other. So each running process can be found at any time, whichever ended before.
type handoff struct {
	addresses [maxProcesses]string

	mu            sync.Mutex
	listeners     [maxProcesses]net.Listener // by address; nil: this process does not own it
	failureLogged bool                       // whether a failure to listen was logged

	listening atomic.Bool // whether this process owns an address
}

func newHandoff(base string) *handoff {
	h := &handoff{}
	h.addresses[0] = "@" + base
	for i := 1; i < maxProcesses; i++ {
		h.addresses[i] = fmt.Sprintf("@%s.%d", base, i)
	}
	return h
}

// listen starts to serve snapshots of a store to other processes, on the first address that this process owns or
// that is free. It is called periodically.
func (h *handoff) listen(s *Store) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var lastError error
	for i, address := range h.addresses {
		if h.listeners[i] != nil {
			return
		}
		listener, err := net.Listen("unix", address)
		if err == nil {
			h.listeners[i] = listener
			h.listening.Store(true)
			go serveSnapshots(listener, s)
			return
		}
		lastError = err
		if !errors.Is(err, syscall.EADDRINUSE) {
			break
		}
	}
	if !h.failureLogged {
		h.failureLogged = true
		slog.Warn("maintenance_orders_handoff_failed", "err", lastError)
	}
}

// serveSnapshots writes the state of a store to each connection of the same user, until the listener
// is closed.
func serveSnapshots(listener net.Listener, s *Store) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		if sockets.IsSameUser(conn) {
			_ = conn.SetDeadline(time.Now().Add(handoffTimeout))
			_, _ = conn.Write(s.snapshot()) // a process that did not receive it sends another query
		}
		conn.Close()
	}
}

// queryOutcome is the outcome of a query to other processes of the gateway.
type queryOutcome uint8

const (
	noOtherProcess    queryOutcome = iota // no other process of this user owns an address
	otherUnresponsive                     // another process exists, but none sent a valid state
	otherResponded                        // at least one other process sent its state
)

// queryOthers requests the states of the gateway's other processes. There are states only if the outcome is
// otherResponded.
func (h *handoff) queryOthers() (states []state, outcome queryOutcome) {
	for i, address := range h.addresses {
		if h.owns(i) {
			continue
		}
		other, result := query(address)
		if result == otherResponded {
			states = append(states, other)
		}
		outcome = max(outcome, result)
	}
	return states, outcome
}

func (h *handoff) owns(i int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.listeners[i] != nil
}

// query requests the state of the process that owns an address.
func query(address string) (state, queryOutcome) {
	conn, err := net.DialTimeout("unix", address, handoffTimeout)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return state{}, noOtherProcess
	}
	if err != nil {
		return state{}, otherUnresponsive
	}
	defer conn.Close()
	if !sockets.IsSameUser(conn) {
		return state{}, noOtherProcess
	}
	_ = conn.SetDeadline(time.Now().Add(handoffTimeout))
	content, err := io.ReadAll(io.LimitReader(conn, maxStateBytes))
	if err != nil {
		return state{}, otherUnresponsive
	}
	other, err := parseState(content)
	if err != nil {
		return state{}, otherUnresponsive
	}
	return other, otherResponded
}

func (h *handoff) close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, listener := range h.listeners {
		if listener != nil {
			listener.Close()
		}
	}
}
