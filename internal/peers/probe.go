package peers

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strconv"
	"strings"
	"syscall"
	"time"

	"archknot/internal/takeover"
)

const (
	// maxConcurrentProbes bounds the incoming probes that are answered concurrently, and separately
	// the outgoing probes that are pending.
	maxConcurrentProbes = 16
	// probeAnswerTimeout bounds how long the connection of an incoming probe stays open.
	probeAnswerTimeout = time.Second
	// maxProbeLine is the largest number of bytes that is read from the peer of a probe.
	maxProbeLine = 256
)

// serveProbes answers each connection with this gateway's name and incarnation, until the
// listener is closed.
func (s *Service) serveProbes(listener net.Listener) {
	slots := make(chan struct{}, maxConcurrentProbes)
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		slots <- struct{}{}
		go func() {
			defer func() { <-slots }()
			s.answerProbe(conn)
		}()
	}
}

func (s *Service) answerProbe(conn net.Conn) {
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(probeAnswerTimeout))
	fmt.Fprintf(conn, "%s %d\n", s.self.Name, s.self.Incarnation)
	// A close with unread data would reset the connection, and the answer might be lost.
	_, _ = io.Copy(io.Discard, io.LimitReader(conn, maxProbeLine))
}

// probeMember dials a member's port in a new goroutine. A refused connection, or the answer of a
// later incarnation, proves that the process has ended; a timeout proves nothing. The caller holds
// the lock.
func (s *Service) probeMember(member takeover.Member, addr string) {
	if s.probing[member.Name] || len(s.probing) >= maxConcurrentProbes {
		return
	}
	s.probing[member.Name] = true
	go func() {
		incarnation, err := dialIncarnation(addr, s.self.Name, member.Name, s.options.ReplyTimeout)
		s.finishProbe(member, incarnation, err)
	}()
}

// finishProbe reports the result of a probe to the membership table and the takeover node.
func (s *Service) finishProbe(member takeover.Member, incarnation uint64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.probing, member.Name)
	now := s.now()
	switch {
	case errors.Is(err, syscall.ECONNREFUSED) || err == nil && incarnation > member.Incarnation:
		slog.Info("peer_dead", "peer", member.Name, "incarnation", member.Incarnation, "answered_by", incarnation)
		s.table.ConfirmDead(now, member)
		s.node.ConfirmDead(now, member)
	case err == nil && incarnation == member.Incarnation:
		s.table.ConfirmAlive(now, member)
	}
	s.runOutputs(now)
}

// dialIncarnation returns the incarnation that the named gateway answers with at an address.
func dialIncarnation(addr, self, name string, timeout time.Duration) (incarnation uint64, err error) {
	conn, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(timeout))
	fmt.Fprintf(conn, "%s 0\n", self)
	line, err := bufio.NewReader(io.LimitReader(conn, maxProbeLine)).ReadString('\n')
	if err != nil {
		return 0, fmt.Errorf("probe %s: read answer: %w", addr, err)
	}
	answering, text, _ := strings.Cut(strings.TrimSpace(line), " ")
	if answering != name {
		return 0, fmt.Errorf("probe %s: answered by gateway %.64q, expected %q", addr, answering, name)
	}
	return strconv.ParseUint(text, 10, 64)
}
