package peers

import (
	"errors"

	"google.golang.org/protobuf/proto"

	"archknot/internal/membership"
	"archknot/internal/peers/peerpb"
	"archknot/internal/takeover"
)

// datagram is what one gateway sends another at once.
type datagram struct {
	from   takeover.Member
	gossip membership.Message
	words  []takeover.Message
}

// Bounds on what a datagram may hold: what is longer comes from no gateway.
const (
	maxDatagram = 60 << 10
	wantedSize  = 1200 // words are put together up to here
	maxName     = 64
	maxID       = 128
	maxKeepers  = 16
	maxWords    = 256
)

var errDatagram = errors.New("not a gateway's datagram")

func putMember(m takeover.Member) *peerpb.Member { return &peerpb.Member{Name: m.Name, Life: m.Life} }

func putMembers(list []takeover.Member) (out []*peerpb.Member) {
	for _, m := range list {
		out = append(out, putMember(m))
	}
	return out
}

func getMember(m *peerpb.Member) takeover.Member {
	return takeover.Member{Name: m.GetName(), Life: m.GetLife()}
}

func getMembers(list []*peerpb.Member) (out []takeover.Member) {
	for _, m := range list {
		out = append(out, getMember(m))
	}
	return out
}

func (d *datagram) encode() ([]byte, error) {
	p := &peerpb.Datagram{From: putMember(d.from), Kind: uint32(d.gossip.Kind), Seq: d.gossip.Seq}
	for _, in := range d.gossip.News {
		p.News = append(p.News, &peerpb.Info{Member: putMember(in.Member), Addr: in.Addr, Site: in.Site, State: uint32(in.State), Round: in.Round})
	}
	for i := range d.words {
		m := &d.words[i]
		p.Words = append(p.Words, &peerpb.Word{Kind: uint32(m.Kind), To: m.To, Id: m.ID, Op: m.Op, Holder: putMember(m.Holder), Epoch: m.Epoch,
			Ask: m.Ask, Next: m.Next, Repeat: m.Terms.Repeat, Beside: m.Terms.Beside, LeftUs: m.Left, Keepers: putMembers(m.Keepers),
			Chain: int32(m.Chain), Given: m.Given, Fresh: m.Fresh, Ok: m.OK, Ran: m.Ran, Reason: uint32(m.Reason), Dead: putMembers(m.Dead)})
	}
	return proto.Marshal(p)
}

func decode(b []byte) (d datagram, err error) {
	var p peerpb.Datagram
	if err := proto.Unmarshal(b, &p); err != nil {
		return d, err
	}
	if d.from = getMember(p.From); !named(d.from) || len(p.Words) > maxWords {
		return d, errDatagram
	}
	d.gossip = membership.Message{Kind: membership.Kind(p.Kind), Seq: p.Seq}
	for _, in := range p.News {
		info := membership.Info{Member: getMember(in.Member), Addr: in.Addr, Site: in.Site, State: membership.State(in.State), Round: in.Round}
		if !named(info.Member) || len(info.Addr) > maxName || len(info.Site) > maxName || in.State > uint32(membership.Dead) {
			return d, errDatagram
		}
		d.gossip.News = append(d.gossip.News, info)
	}
	for _, w := range p.Words {
		m := takeover.Message{Kind: takeover.Kind(w.Kind), To: w.To, ID: w.Id, Op: w.Op, Holder: getMember(w.Holder), Epoch: w.Epoch, Ask: w.Ask,
			Next: w.Next, Terms: takeover.Terms{Repeat: w.Repeat, Beside: w.Beside}, Left: w.LeftUs, Keepers: getMembers(w.Keepers), Chain: int(w.Chain),
			Given: w.Given, Fresh: w.Fresh, OK: w.Ok, Ran: w.Ran, Reason: takeover.Reason(w.Reason), Dead: getMembers(w.Dead)}
		if w.Id == "" || len(w.Id) > maxID || len(w.Keepers) > maxKeepers || len(w.Dead) > maxKeepers || w.Chain < 0 || w.Chain > maxKeepers ||
			m.Left < 0 || w.Reason > uint32(takeover.Gone) {
			return d, errDatagram
		}
		d.words = append(d.words, m)
	}
	return d, nil
}

func named(m takeover.Member) bool { return m.Name != "" && len(m.Name) <= maxName }
