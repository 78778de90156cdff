package controlservice

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"

	"archknot/internal/configversion"
	pb "archknot/internal/configversion/configpb"
)

// Version is a configuration version, and the faults that the service injects when it sends it.
type Version struct {
	Number        uint64
	FirstPercent  uint32
	Hold          time.Duration
	MaxRegression float64
	Resources     map[configversion.ResourceType][]proto.Message

	Truncate    configversion.ResourceType // resources of this type are sent truncated
	CloseAfter  int                        // number of messages after which the stream is closed; 0: never
	Delay       time.Duration              // pause after each message
	RepeatNonce bool                       // send all messages with the same nonce
}

// message has the resources of one type in a version.
type message struct {
	resourceType configversion.ResourceType
	version      string // version of this resource type, as sent
	resources    []*anypb.Any
	repeatNonce  bool
}

// truncatedEnd is appended to the first half of a truncated resource, so that decoding fails: no
// protobuf field can start with this byte at the end of the data.
const truncatedEnd = 0xff

// encode returns a version's messages in the order of configversion.ResourceTypes. The manifest
// comes first for even version numbers and last for odd ones.
func (v *Version) encode() ([]message, error) {
	manifest := &pb.Version{Number: v.Number, Types: map[string]string{}, FirstPercent: v.FirstPercent, HoldUs: v.Hold.Microseconds(), WorseBy: v.MaxRegression}
	var messages []message
	for _, t := range configversion.ResourceTypes {
		resources, ok := v.Resources[t]
		if !ok {
			continue
		}
		m, err := v.encodeType(t, resources)
		if err != nil {
			return nil, err
		}
		manifest.Types[string(t)] = m.version
		messages = append(messages, m)
	}
	a, err := anypb.New(manifest)
	if err != nil {
		return nil, err
	}
	m := message{resourceType: configversion.TypeVersion, version: fmt.Sprint("v", v.Number), resources: []*anypb.Any{a}, repeatNonce: v.RepeatNonce}
	if v.Number%2 == 0 {
		return append([]message{m}, messages...), nil
	}
	return append(messages, m), nil
}

// encodeType returns the message for one type, with truncated resources if v.Truncate is the type.
func (v *Version) encodeType(t configversion.ResourceType, resources []proto.Message) (message, error) {
	m := message{resourceType: t, version: fmt.Sprintf("%s-%d", t, v.Number), repeatNonce: v.RepeatNonce}
	for _, r := range resources {
		a, err := anypb.New(r)
		if err != nil {
			return m, err
		}
		if t == v.Truncate {
			a.Value = append(a.Value[:len(a.Value)/2], truncatedEnd)
		}
		m.resources = append(m.resources, a)
	}
	return m, nil
}
