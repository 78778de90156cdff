package peers

import (
	"fmt"
	"net"
	"net/netip"
	"time"

	"archknot/internal/membership"
	"archknot/internal/takeover"
)

const (
	// batchDelay is how long a new request's record waits for others to the same member.
	batchDelay = 3 * time.Millisecond
	// piggybackedUpdates is how many membership updates a batch carries at most.
	piggybackedUpdates = 4
	// maxResolvedAddrs bounds the cache of resolved addresses.
	maxResolvedAddrs = 2048

	// Estimated sizes in bytes of a takeover message without its lists, and of a member in a list.
	messageSizeEstimate = 64
	memberSizeEstimate  = 24
)

// messageBatch is the takeover messages that go to a member in one datagram.
type messageBatch struct {
	to       takeover.Member
	messages []takeover.Message
	size     int // estimated, in bytes
}

// enqueue sends a message to a member. Only a replicated record is delayed: nothing waits for it.
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
// after batchDelay. One timer serves all requests in between: a timer for each would wake the
// process once more for each request.
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

// sendBatch sends a batch, with membership updates, if its member is known.
func (s *Service) sendBatch(batch *messageBatch) {
	delete(s.batches, batch.to.Name)
	m, ok := s.table.Member(batch.to.Name)
	if !ok {
		return
	}
	gossip := membership.Message{Updates: s.table.Piggyback(piggybackedUpdates)}
	s.writeDatagram(m.Addr, &datagram{from: s.self, gossip: gossip, messages: batch.messages})
}

// writeDatagram sends a datagram and counts whether that failed. A lost one is sent again by
// membership and takeovers if it matters.
func (s *Service) writeDatagram(address string, d *datagram) {
	if err := s.tryWriteDatagram(address, d); err != nil {
		s.datagramsFailed++
		return
	}
	s.datagramsSent++
}

func (s *Service) tryWriteDatagram(address string, d *datagram) error {
	addr, err := s.resolve(address)
	if err != nil {
		return err
	}
	encoded, err := d.encode()
	if err != nil {
		return fmt.Errorf("encode a datagram to %s: %w", address, err)
	}
	_, err = s.udp.WriteToUDPAddrPort(encoded, addr)
	return err
}

// resolve returns the address and port of a host:port, which it resolves once.
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
