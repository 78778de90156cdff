package peers

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"archknot/internal/membership"
	"archknot/internal/takeover"
)

const (
	// batchDelay is how long a new request's record is delayed, so that records for the same member
	// share a datagram.
	batchDelay = 3 * time.Millisecond
	// piggybackedUpdates is the largest number of membership updates in a batch.
	piggybackedUpdates = 4
	// maxResolvedAddrs bounds the cache of resolved addresses.
	maxResolvedAddrs = 2048
	// messageSizeEstimate is the estimated size in bytes of a takeover message without its lists.
	messageSizeEstimate = 64
	// memberSizeEstimate is the estimated size in bytes of a member in a list.
	memberSizeEstimate = 24
)

// errNotListening is the error of a datagram before the sockets are open.
var errNotListening = errors.New("the sockets are not open yet")

// messageBatch holds the takeover messages that are sent to a member in one datagram.
type messageBatch struct {
	to       takeover.Member
	messages []takeover.Message
	size     int // estimated, in bytes
}

// enqueue adds a message to a member's batch. It sends the batch at once, unless the message is
// a replicated record, which nothing waits for, and the batch is below targetDatagramSize.
func (s *Service) enqueue(to takeover.Member, m takeover.Message) {
	batch := s.batches[to.Name]
	if batch == nil {
		batch = &messageBatch{to: to}
		s.batches[to.Name] = batch
	}
	batch.messages = append(batch.messages, m)
	batch.size += messageSizeEstimate + len(m.RequestID) + memberSizeEstimate*(len(m.Backups)+len(m.ProvenDead))
	if m.Kind != takeover.MsgReplicate || batch.size > targetDatagramSize {
		s.sendBatch(batch)
	}
}

// scheduleFlush sends the batches at once if the last flush is at least batchDelay ago, else
// after batchDelay. A single timer serves all requests in between, because a timer for each
// request would wake the process once more per request.
func (s *Service) scheduleFlush(now int64) {
	if len(s.batches) == 0 || s.flushScheduled {
		return
	}
	if now-s.lastFlush >= batchDelay.Microseconds() {
		s.flushBatches(now)
		return
	}
	s.flushScheduled = true
	time.AfterFunc(batchDelay, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.flushScheduled = false
		s.flushBatches(s.now())
	})
}

func (s *Service) flushBatches(now int64) {
	s.lastFlush = now
	for _, batch := range s.batches {
		s.sendBatch(batch)
	}
}

// sendBatch sends a batch, with membership updates. It discards the batch if its member is not in
// the membership table.
func (s *Service) sendBatch(batch *messageBatch) {
	delete(s.batches, batch.to.Name)
	m, ok := s.table.Member(batch.to.Name)
	if !ok {
		return
	}
	gossip := membership.Message{Updates: s.table.Piggyback(piggybackedUpdates)}
	s.writeDatagram(m.Addr, &datagram{from: s.self, gossip: gossip, messages: batch.messages})
}

// writeDatagram sends a datagram and counts the success or failure. Packages membership and
// takeover resend lost messages where necessary.
func (s *Service) writeDatagram(address string, d *datagram) {
	if err := s.tryWriteDatagram(address, d); err != nil {
		s.datagramsFailed++
		return
	}
	s.datagramsSent++
}

func (s *Service) tryWriteDatagram(address string, d *datagram) error {
	if s.udp == nil {
		return errNotListening
	}
	addr, err := s.resolve(address)
	if err != nil {
		return err
	}
	encoded, err := d.encode()
	if err != nil {
		return fmt.Errorf("encode datagram to %s: %w", address, err)
	}
	_, err = s.udp.WriteToUDPAddrPort(encoded, addr)
	return err
}

// resolve returns the IP address and port of a host:port, and caches them.
func (s *Service) resolve(address string) (netip.AddrPort, error) {
	if addr, ok := s.resolvedAddrs[address]; ok {
		return addr, nil
	}
	resolved, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return netip.AddrPort{}, err
	}
	ip, _ := netip.AddrFromSlice(resolved.IP)
	addr := netip.AddrPortFrom(ip.Unmap(), uint16(resolved.Port))
	if len(s.resolvedAddrs) > maxResolvedAddrs {
		clear(s.resolvedAddrs)
	}
	s.resolvedAddrs[address] = addr
	return addr, nil
}
