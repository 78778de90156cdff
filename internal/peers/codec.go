package peers

import (
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	"archknot/internal/membership"
	"archknot/internal/peers/peerpb"
	"archknot/internal/takeover"
)

// Limits on a datagram. A received one with a list, a name or an id over its limit is ignored.
const (
	maxDatagramSize    = 60 << 10 // bytes
	targetDatagramSize = 1200     // bytes, estimated: a larger batch is sent at once
	maxNameLength      = 64       // bytes, of a name, an address or a zone
	maxIDLength        = 128      // bytes, of a request id
	maxBackups         = 16       // members in a list of a message
	maxMessages        = 256
)

// errInvalidDatagram is the error for a datagram that lacks a required field or exceeds a limit.
var errInvalidDatagram = errors.New("invalid datagram: required field missing or limit exceeded")

// datagram is the content of one UDP datagram between gateways.
type datagram struct {
	from     takeover.Member
	gossip   membership.Message
	messages []takeover.Message
}

// encode returns the datagram in its wire format.
func (d *datagram) encode() ([]byte, error) {
	encoded := &peerpb.Datagram{From: memberToProto(d.from), Kind: uint32(d.gossip.Kind), Seq: d.gossip.Seq}
	for i := range d.gossip.Updates {
		encoded.News = append(encoded.News, memberInfoToProto(&d.gossip.Updates[i]))
	}
	for i := range d.messages {
		encoded.Words = append(encoded.Words, messageToProto(&d.messages[i]))
	}
	return proto.Marshal(encoded)
}

// decodeDatagram parses the wire format. It rejects a datagram that exceeds the limits.
func decodeDatagram(wire []byte) (datagram, error) {
	var encoded peerpb.Datagram
	if err := proto.Unmarshal(wire, &encoded); err != nil {
		return datagram{}, fmt.Errorf("decode datagram: %w", err)
	}
	d := datagram{
		from:   memberFromProto(encoded.From),
		gossip: membership.Message{Kind: membership.MessageKind(encoded.Kind), Seq: encoded.Seq},
	}
	if !validName(d.from) || len(encoded.Words) > maxMessages {
		return datagram{}, errInvalidDatagram
	}
	for _, update := range encoded.News {
		if !validMemberInfo(update) {
			return datagram{}, errInvalidDatagram
		}
		d.gossip.Updates = append(d.gossip.Updates, memberInfoFromProto(update))
	}
	for _, message := range encoded.Words {
		if !validMessage(message) {
			return datagram{}, errInvalidDatagram
		}
		d.messages = append(d.messages, messageFromProto(message))
	}
	return d, nil
}

func validName(m takeover.Member) bool { return m.Name != "" && len(m.Name) <= maxNameLength }

func validMemberInfo(info *peerpb.Info) bool {
	return validName(memberFromProto(info.Member)) &&
		len(info.Addr) <= maxNameLength &&
		len(info.Site) <= maxNameLength &&
		info.State <= uint32(membership.Dead)
}

func validMessage(m *peerpb.Word) bool {
	return m.Id != "" &&
		len(m.Id) <= maxIDLength &&
		len(m.Keepers) <= maxBackups &&
		len(m.Dead) <= maxBackups &&
		m.Chain >= 0 && m.Chain <= maxBackups &&
		m.LeftUs >= 0 &&
		m.Reason <= uint32(takeover.ReasonSuperseded)
}

func memberToProto(m takeover.Member) *peerpb.Member {
	return &peerpb.Member{Name: m.Name, Life: m.Incarnation}
}

func membersToProto(members []takeover.Member) (encoded []*peerpb.Member) {
	for _, m := range members {
		encoded = append(encoded, memberToProto(m))
	}
	return encoded
}

func memberFromProto(m *peerpb.Member) takeover.Member {
	return takeover.Member{Name: m.GetName(), Incarnation: m.GetLife()}
}

func membersFromProto(encoded []*peerpb.Member) (members []takeover.Member) {
	for _, m := range encoded {
		members = append(members, memberFromProto(m))
	}
	return members
}

func memberInfoToProto(info *membership.MemberInfo) *peerpb.Info {
	return &peerpb.Info{
		Member: memberToProto(info.Member),
		Addr:   info.Addr,
		Site:   info.Zone,
		State:  uint32(info.State),
		Round:  info.Refutations,
	}
}

func memberInfoFromProto(info *peerpb.Info) membership.MemberInfo {
	return membership.MemberInfo{
		Member:      memberFromProto(info.Member),
		Addr:        info.Addr,
		Zone:        info.Site,
		State:       membership.State(info.State),
		Refutations: info.Round,
	}
}

func messageToProto(m *takeover.Message) *peerpb.Word {
	return &peerpb.Word{
		Kind:    uint32(m.Kind),
		To:      m.ToIncarnation,
		Id:      m.RequestID,
		Op:      m.QueryID,
		Holder:  memberToProto(m.Holder),
		Epoch:   m.Epoch,
		Ask:     m.ResumeSeq,
		Next:    m.NextResumeSeq,
		Repeat:  m.Policy.Idempotent,
		Beside:  m.Policy.Hedgeable,
		LeftUs:  m.TimeLeft,
		Keepers: membersToProto(m.Backups),
		Chain:   int32(m.Chain),
		Given:   m.PermitGranted,
		Fresh:   m.Initial,
		Ok:      m.OK,
		Ran:     m.MayHaveRun,
		Reason:  uint32(m.Reason),
		Dead:    membersToProto(m.ProvenDead),
	}
}

func messageFromProto(m *peerpb.Word) takeover.Message {
	return takeover.Message{
		Kind:          takeover.MessageKind(m.Kind),
		ToIncarnation: m.To,
		RequestID:     m.Id,
		QueryID:       m.Op,
		Holder:        memberFromProto(m.Holder),
		Epoch:         m.Epoch,
		ResumeSeq:     m.Ask,
		NextResumeSeq: m.Next,
		Policy:        takeover.RetryPolicy{Idempotent: m.Repeat, Hedgeable: m.Beside},
		TimeLeft:      m.LeftUs,
		Backups:       membersFromProto(m.Keepers),
		Chain:         int(m.Chain),
		PermitGranted: m.Given,
		Initial:       m.Fresh,
		OK:            m.Ok,
		MayHaveRun:    m.Ran,
		Reason:        takeover.Reason(m.Reason),
		ProvenDead:    membersFromProto(m.Dead),
	}
}
