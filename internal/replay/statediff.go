package replay

import (
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	pb "archknot/internal/capture/capturepb"
	"archknot/internal/contract/contractpb"
)

// describeStateDifference describes the first field in which two states of the module differ.
func describeStateDifference(own, recorded []byte) string {
	var a, b pb.State
	if err := errors.Join(proto.Unmarshal(own, &a), proto.Unmarshal(recorded, &b)); err != nil {
		return err.Error()
	}
	if at := firstDifference(a.ProtoReflect(), b.ProtoReflect()); at != "" {
		return "the state differs at " + at
	}
	return "the states differ"
}

// describeLedgerDifference describes the first field in which two states of the ledger differ.
func describeLedgerDifference(own, recorded []byte) string {
	var a, b contractpb.Book
	if err := errors.Join(proto.Unmarshal(own, &a), proto.Unmarshal(recorded, &b)); err != nil {
		return err.Error()
	}
	if at := firstDifference(a.ProtoReflect(), b.ProtoReflect()); at != "" {
		return "the book differs at " + at
	}
	return "the books differ"
}

// firstDifference returns the path and both values of the first field in which two messages of the same type differ; ""
// if no field differs.
func firstDifference(own, recorded protoreflect.Message) string {
	fields := own.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		x, y := own.Get(field), recorded.Get(field)
		if x.Equal(y) {
			continue
		}
		switch {
		case field.IsList():
			if at := firstListDifference(field, x.List(), y.List()); at != "" {
				return at
			}
		case field.Message() != nil:
			if at := firstDifference(x.Message(), y.Message()); at != "" {
				return string(field.Name()) + "." + at
			}
		default:
			return fmt.Sprintf("%s: %v, recorded %v", field.Name(), x, y)
		}
	}
	return ""
}

// firstListDifference is firstDifference for a repeated field.
func firstListDifference(field protoreflect.FieldDescriptor, own, recorded protoreflect.List) string {
	if own.Len() != recorded.Len() {
		return fmt.Sprintf("%s: %d entries, recorded %d", field.Name(), own.Len(), recorded.Len())
	}
	for i := range own.Len() {
		x, y := own.Get(i), recorded.Get(i)
		if field.Message() != nil {
			if at := firstDifference(x.Message(), y.Message()); at != "" {
				return fmt.Sprintf("%s[%d].%s", field.Name(), i, at)
			}
		} else if !x.Equal(y) {
			return fmt.Sprintf("%s[%d]: %v, recorded %v", field.Name(), i, x, y)
		}
	}
	return ""
}
