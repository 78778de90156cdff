package balancer

import "encoding/binary"

// What gateways tell each other where they may. No decision stands here.

// peerReportSize is the size of one report in a peer message: 3 bytes of hashed id,
// tokens held and slowness on log scales.
const peerReportSize = 5

// packPeerReport packs w's fresh report for the peers.
func (b *Balancer) packPeerReport(body []byte, row *replicaRow) []byte {
	var id [4]byte
	binary.BigEndian.PutUint32(id[:], uint32(row.hash>>40))
	slow := 1.0
	if row.slownessCount > 0 {
		slow = row.slownessSum / row.slownessCount
	}
	return append(body, id[1], id[2], id[3], packLog(row.reportedTokens), packLog(slow*256))
}

// PeerMessage takes reports that a peer has probed.
func (b *Balancer) PeerMessage(now Micros, from int, body []byte) {
	for ; len(body) >= peerReportSize; body = body[peerReportSize:] {
		short := uint64(body[0])<<16 | uint64(body[1])<<8 | uint64(body[2])
		for _, row := range b.rows {
			if row.hash>>40 == short {
				b.setReportedLoad(now, row, unpackLog(body[3]))
				b.recordSlowness(now, row, unpackLog(body[4])/256)
				b.clearFailures(row)
			}
		}
	}
}
