package controlservice

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"

	"archknot/internal/configversion"
	pb "archknot/internal/configversion/configpb"
)

// Version is one version as the service sends it, and the faults in how it does.
type Version struct {
	Number        uint64
	FirstPercent  uint32
	Hold          time.Duration
	MaxRegression float64
	Resources     map[configversion.ResourceType][]proto.Message

	Truncate    configversion.ResourceType // the resources of this type are cut off
	CloseAfter  int                        // the stream is closed after so many messages; 0: it isn't
	Delay       time.Duration              // between two messages
	RepeatNonce bool                       // all messages have one nonce
}

// message is the part of a version that has one type.
type message struct {
	resourceType configversion.ResourceType
	version      string // its name
	resources    []*anypb.Any
	repeatNonce  bool
}

// truncatedEnd follows the first half of a resource that is cut off: no field can begin
// with it.
const truncatedEnd = 0xff

// encode returns a version's messages, in the order of the types. The manifest is the first
// for even numbers, and the last for odd ones.
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

// encodeType returns the message of one type.
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
