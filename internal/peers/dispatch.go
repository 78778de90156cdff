package peers

import (
	"errors"
	"net"

	"archknot/internal/membership"
	"archknot/internal/takeover"
)

// readDatagrams receives and handles the datagrams of other gateways until the socket is closed.
func (s *Service) readDatagrams(socket *net.UDPConn) {
	buffer := make([]byte, maxDatagramSize)
	for {
		size, _, err := socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // for example because an earlier datagram from here reached no socket
		}
		d, err := decodeDatagram(buffer[:size])
		if err != nil || d.from.Name == s.self.Name {
			continue
		}
		s.recordHeartbeat()
		s.handleDatagram(&d)
	}
}

func (s *Service) handleDatagram(d *datagram) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.table.Receive(now, d.from, d.gossip)
	s.syncMembers(now)
	for _, m := range d.messages {
		s.node.Receive(now, d.from, m)
	}
	s.runOutputs(now)
}

// syncMembers applies a changed membership: it reports processes that are proven dead to the
// takeover node and updates the backup candidates. The caller holds the lock.
func (s *Service) syncMembers(now int64) {
	version := s.table.Version()
	if version == s.tableVersion {
		return
	}
	s.tableVersion = version
	s.backupCandidates = s.backupCandidates[:0]
	clear(s.zones)
	s.zones[s.options.Name] = s.options.Zone
	for _, m := range s.table.Members() {
		switch m.State {
		case membership.Dead:
			s.node.ConfirmDead(now, m.Member)
		case membership.Alive, membership.Suspect:
			if m.Incarnation > 0 { // its earlier incarnations have ended
				s.node.ConfirmDead(now, takeover.Member{Name: m.Name, Incarnation: m.Incarnation - 1})
			}
			s.backupCandidates = append(s.backupCandidates, m.Member)
		}
		s.zones[m.Name] = m.Zone
	}
}

// runOutputs executes the outputs of the membership table and the takeover node until there are
// none. The caller holds the lock.
func (s *Service) runOutputs(now int64) {
	for {
		s.syncMembers(now)
		gossip, takeovers := s.table.Outputs(), s.node.Outputs()
		if len(gossip)+len(takeovers) == 0 {
			s.scheduleFlush(now)
			return
		}
		for _, o := range gossip {
			if o.Probe != nil {
				s.probeMember(o.Probe.Member, o.Probe.Addr)
				continue
			}
			s.writeDatagram(o.To, &datagram{from: s.self, gossip: o.Message})
		}
		for _, o := range takeovers {
			s.runTakeoverOutput(now, o)
		}
	}
}

func (s *Service) runTakeoverOutput(now int64, o takeover.Output) {
	switch o.Action {
	case takeover.ActionSend:
		if o.To == s.self {
			s.node.Receive(now, s.self, o.Message)
			return
		}
		s.enqueue(o.To, o.Message)
	case takeover.ActionProbe:
		if m, ok := s.table.Member(o.To.Name); ok {
			s.probeMember(o.To, m.Addr)
		}
	case takeover.ActionClaimResult:
		s.finishClaim(o)
	case takeover.ActionPermitResult, takeover.ActionLeaseCheckResult:
		if lease := s.leases[o.RequestID]; lease != nil {
			lease.deliver(o)
		}
	case takeover.ActionStop:
		if lease := s.leases[o.RequestID]; lease != nil {
			lease.lose()
		} else {
			s.node.Stopped(now, o.RequestID, true)
		}
	}
}
