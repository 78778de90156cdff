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
	from     takeover.Member
	gossip   membership.Message
	messages []takeover.Message
}

// Bounds on what a datagram may hold: what is longer comes from no gateway.
const (
	maxDatagramSize    = 60 << 10
	targetDatagramSize = 1200 // words are put together up to here
	maxNameLength      = 64
	maxIDLength        = 128
	maxBackups         = 16
	maxMessages        = 256
)

var errInvalidDatagram = errors.New("not a gateway's datagram")

func memberToProto(m takeover.Member) *peerpb.Member {
	return &peerpb.Member{Name: m.Name, Life: m.Incarnation}
}

func membersToProto(list []takeover.Member) (out []*peerpb.Member) {
	for _, m := range list {
		out = append(out, memberToProto(m))
	}
	return out
}

func memberFromProto(m *peerpb.Member) takeover.Member {
	return takeover.Member{Name: m.GetName(), Incarnation: m.GetLife()}
}

func membersFromProto(list []*peerpb.Member) (out []takeover.Member) {
	for _, m := range list {
		out = append(out, memberFromProto(m))
	}
	return out
}

func (d *datagram) encode() ([]byte, error) {
	p := &peerpb.Datagram{From: memberToProto(d.from), Kind: uint32(d.gossip.Kind), Seq: d.gossip.Seq}
	for _, in := range d.gossip.Updates {
		p.News = append(p.News, &peerpb.Info{Member: memberToProto(in.Member), Addr: in.Addr, Site: in.Zone, State: uint32(in.State), Round: in.Refutations})
	}
	for i := range d.messages {
		m := &d.messages[i]
		p.Words = append(p.Words, &peerpb.Word{Kind: uint32(m.Kind), To: m.ToIncarnation, Id: m.RequestID, Op: m.QueryID, Holder: memberToProto(m.Holder), Epoch: m.Epoch,
			Ask: m.ResumeSeq, Next: m.NextResumeSeq, Repeat: m.Policy.Idempotent, Beside: m.Policy.Hedgeable, LeftUs: m.TimeLeft, Keepers: membersToProto(m.Backups),
			Chain: int32(m.Chain), Given: m.PermitGranted, Fresh: m.Initial, Ok: m.OK, Ran: m.MayHaveRun, Reason: uint32(m.Reason), Dead: membersToProto(m.ProvenDead)})
	}
	return proto.Marshal(p)
}

func decodeDatagram(b []byte) (d datagram, err error) {
	var p peerpb.Datagram
	if err := proto.Unmarshal(b, &p); err != nil {
		return d, err
	}
	if d.from = memberFromProto(p.From); !validName(d.from) || len(p.Words) > maxMessages {
		return d, errInvalidDatagram
	}
	d.gossip = membership.Message{Kind: membership.MessageKind(p.Kind), Seq: p.Seq}
	for _, in := range p.News {
		info := membership.MemberInfo{Member: memberFromProto(in.Member), Addr: in.Addr, Zone: in.Site, State: membership.State(in.State), Refutations: in.Round}
		if !validName(info.Member) || len(info.Addr) > maxNameLength || len(info.Zone) > maxNameLength || in.State > uint32(membership.Dead) {
			return d, errInvalidDatagram
		}
		d.gossip.Updates = append(d.gossip.Updates, info)
	}
	for _, w := range p.Words {
		m := takeover.Message{Kind: takeover.MessageKind(w.Kind), ToIncarnation: w.To, RequestID: w.Id, QueryID: w.Op, Holder: memberFromProto(w.Holder), Epoch: w.Epoch, ResumeSeq: w.Ask,
			NextResumeSeq: w.Next, Policy: takeover.RetryPolicy{Idempotent: w.Repeat, Hedgeable: w.Beside}, TimeLeft: w.LeftUs, Backups: membersFromProto(w.Keepers), Chain: int(w.Chain),
			PermitGranted: w.Given, Initial: w.Fresh, OK: w.Ok, MayHaveRun: w.Ran, Reason: takeover.Reason(w.Reason), ProvenDead: membersFromProto(w.Dead)}
		if w.Id == "" || len(w.Id) > maxIDLength || len(w.Keepers) > maxBackups || len(w.Dead) > maxBackups || w.Chain < 0 || w.Chain > maxBackups ||
			m.TimeLeft < 0 || w.Reason > uint32(takeover.ReasonSuperseded) {
			return d, errInvalidDatagram
		}
		d.messages = append(d.messages, m)
	}
	return d, nil
}

func validName(m takeover.Member) bool { return m.Name != "" && len(m.Name) <= maxNameLength }
