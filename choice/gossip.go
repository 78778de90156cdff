package choice

import "encoding/binary"

// What gateways tell each other where they may. No decision stands here.

// relayed is the size of one report in a peer message: 3 bytes of hashed id,
// tokens held and slowness on log scales.
const relayed = 5

// relay packs w's fresh report for the peers.
func (b *Balancer) relay(body []byte, w *row) []byte {
	var id [4]byte
	binary.BigEndian.PutUint32(id[:], uint32(w.hash>>40))
	slow := 1.0
	if w.slowDen > 0 {
		slow = w.slowNum / w.slowDen
	}
	return append(body, id[1], id[2], id[3], logByte(w.held), logByte(slow*256))
}

// PeerMessage takes reports that a peer has probed.
func (b *Balancer) PeerMessage(now Micros, from int, body []byte) {
	for ; len(body) >= relayed; body = body[relayed:] {
		short := uint64(body[0])<<16 | uint64(body[1])<<8 | uint64(body[2])
		for _, w := range b.rows {
			if w.hash>>40 == short {
				b.setHeld(now, w, unlogByte(body[3]))
				b.noteSlow(now, w, unlogByte(body[4])/256)
				b.answered(w)
			}
		}
	}
}
