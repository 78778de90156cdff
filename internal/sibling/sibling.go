// Package sibling lets the processes of one gateway that run side by side, as in an upgrade, ask each other whether
// they have had a request. Each listens on a Unix socket in the abstract namespace, which ends with its process.
package sibling

import (
	"bufio"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"archknot/internal/sockets"
)

const (
	// maxProcesses bounds the processes of one gateway that run at the same time and know each other.
	maxProcesses = 4
	// exchangeTimeout bounds an exchange with another process.
	exchangeTimeout = 200 * time.Millisecond
	// maxExchangeBytes bounds what is read of an exchange. It allows for the ids that a process hands over.
	maxExchangeBytes = 1 << 20
	// maxConcurrentExchanges bounds the exchanges that are answered at the same time.
	maxConcurrentExchanges = 16
)

// The first byte of an exchange, which is followed by ids, each on a line of its own.
const (
	commandAsk      = '?' // the answer is known or unknown
	commandHandOver = '+' // the answer is recorded
)

// The answers, of one byte each.
const (
	answerKnown    = '1'
	answerUnknown  = '0'
	answerRecorded = '+'
)

// Records are the ids of requests that a process has had.
type Records interface {
	// HasRequest reports whether the request is in flight, or may have run and must not run again.
	HasRequest(id string) bool
	// AddRequests records requests that must not run again.
	AddRequests(ids []string)
}

// Group is a process's view of the processes of its gateway. Its methods may be called from any goroutine.
type Group struct {
	addresses [maxProcesses]string
	records   Records

	mu       sync.Mutex
	own      int // index of the own address; -1: none
	listener net.Listener
}

// New returns the group of a gateway's processes, which have the same name and client address.
func New(name, listen string) *Group {
	hash := fnv.New64a()
	fmt.Fprintf(hash, "%d\x00%s\x00%s", os.Geteuid(), name, listen)
	g := &Group{own: -1}
	for i := range g.addresses {
		g.addresses[i] = fmt.Sprintf("@archknot-requests-%016x.%d", hash.Sum64(), i)
	}
	return g
}

// Serve answers the other processes in the background until Close. It is called before this process serves clients.
func (g *Group) Serve(records Records) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.records = records
	var err error
	for i, address := range g.addresses {
		if g.listener, err = net.Listen("unix", address); err == nil {
			g.own = i
			go g.accept(g.listener)
			return nil
		}
	}
	return fmt.Errorf("request ids of other processes: %w", err)
}

// Close ends Serve.
func (g *Group) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.listener != nil {
		g.listener.Close()
	}
}

func (g *Group) accept(listener net.Listener) {
	slots := make(chan struct{}, maxConcurrentExchanges)
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		slots <- struct{}{}
		go func() {
			defer func() { <-slots }()
			g.answer(conn)
		}()
	}
}

// answer handles an exchange that another process has begun.
func (g *Group) answer(conn net.Conn) {
	defer conn.Close()
	if !sockets.IsSameUser(conn) {
		return
	}
	_ = conn.SetDeadline(time.Now().Add(exchangeTimeout))
	reader := bufio.NewReader(io.LimitReader(conn, maxExchangeBytes))
	command, err := reader.ReadByte()
	if err != nil {
		return
	}
	switch command {
	case commandAsk:
		id, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		answer := byte(answerUnknown)
		if g.records.HasRequest(strings.TrimSuffix(id, "\n")) {
			answer = answerKnown
		}
		_, _ = conn.Write([]byte{answer}) // a process that doesn't get it counts this one as unresponsive
	case commandHandOver:
		content, err := io.ReadAll(reader)
		if err == nil {
			g.records.AddRequests(strings.Fields(string(content)))
			_, _ = conn.Write([]byte{answerRecorded}) // else the other process logs that it is missing
		}
	}
}

// HasRequest reports whether another process has had a request. An error means that one didn't answer. A process that
// can't listen itself can't ask either, and doesn't know of any.
func (g *Group) HasRequest(id string) (bool, error) {
	for _, address := range g.others() {
		answer, err := exchange(address, commandAsk, id)
		if errors.Is(err, syscall.ECONNREFUSED) {
			continue // no process has this address
		}
		if err != nil || answer == answerKnown {
			return err == nil, err
		}
	}
	return false, nil
}

// others returns the addresses that other processes may have; none if this process has no address.
func (g *Group) others() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.own < 0 {
		return nil
	}
	var others []string
	for i, address := range g.addresses {
		if i != g.own {
			others = append(others, address)
		}
	}
	return others
}

// exchange sends a command to another process and returns its answer.
func exchange(address string, command byte, ids ...string) (answer byte, err error) {
	conn, err := net.DialTimeout("unix", address, exchangeTimeout)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(exchangeTimeout))
	if _, err := conn.Write([]byte(string(command) + strings.Join(ids, "\n") + "\n")); err != nil {
		return 0, err
	}
	if unixConn, ok := conn.(*net.UnixConn); ok {
		_ = unixConn.CloseWrite() // the other process reads to the end; if it fails, it gets no answer and says so
	}
	var reply [1]byte
	_, err = io.ReadFull(conn, reply[:])
	return reply[0], err
}

// HandOver gives the ids of requests that must not run again to the other processes, before this one ends. It waits until they
// have recorded them.
func (g *Group) HandOver(ids []string) {
	if len(ids) == 0 {
		return
	}
	for _, address := range g.others() {
		_, err := exchange(address, commandHandOver, ids...)
		if err == nil {
			slog.Info("request_ids_handed_over", "ids", len(ids))
		} else if !errors.Is(err, syscall.ECONNREFUSED) {
			slog.Warn("request_ids_not_handed_over", "ids", len(ids), "err", err)
		}
	}
}
