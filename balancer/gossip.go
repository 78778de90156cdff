package balancer

import "encoding/binary"

// Load reports that gateways send each other, if the settings allow gossip.

// peerReportSize is the size in bytes of one report in a peer message: 3 bytes of the
// replica's hash, then one byte each for the held tokens and the slowness, on log scales.
const peerReportSize = 5

// slownessScale scales a slowness, which is about 1, to the range of packLog.
const slownessScale = 256

// packPeerReport appends a row's load report to a peer message.
func (row *replicaRow) packPeerReport(body []byte) []byte {
	var id [4]byte
	binary.BigEndian.PutUint32(id[:], uint32(row.hash>>40))
	slowness := 1.0
	if row.slownessCount > 0 {
		slowness = row.slownessSum / row.slownessCount
	}
	return append(body, id[1], id[2], id[3], packLog(row.reportedTokens), packLog(slowness*slownessScale))
}

// PeerMessage handles a message of load reports that the gateway with index from has sent by
// Gossip. Reports of unknown replicas and an incomplete last report are ignored.
func (b *Balancer) PeerMessage(now Micros, from int, body []byte) {
	for ; len(body) >= peerReportSize; body = body[peerReportSize:] {
		hash := uint64(body[0])<<16 | uint64(body[1])<<8 | uint64(body[2])
		for _, row := range b.rows {
			if row.hash>>40 == hash {
				b.setReportedLoad(now, row, unpackLog(body[3]))
				row.recordSlowness(now, unpackLog(body[4])/slownessScale)
				row.clearFailures()
			}
		}
	}
}
