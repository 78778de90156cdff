package balancer

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"

	"google.golang.org/protobuf/encoding/protowire"
)

// archive encodes fields to protobuf's wire format or decodes them from it. Each method serves
// both directions, so that a field is named once: it writes the value when saving and sets it
// when loading. The first error is kept in err.
type archive struct {
	saving bool
	out    []byte
	fields map[protowire.Number][]wireField // decoded and not yet taken
	err    error
}

// wireField is the value of one decoded field.
type wireField struct {
	number uint64 // a varint or a fixed value
	bytes  []byte
}

// fail records an error, unless there is an earlier one.
func (a *archive) fail(err error) {
	if a.err == nil {
		a.err = err
	}
}

// parse decodes all fields of a message.
func (a *archive) parse(in []byte) {
	a.fields = map[protowire.Number][]wireField{}
	for len(in) > 0 {
		tag, wireType, n := protowire.ConsumeTag(in)
		if n < 0 {
			a.fail(protowire.ParseError(n))
			return
		}
		in = in[n:]
		var field wireField
		switch wireType {
		case protowire.VarintType:
			field.number, n = protowire.ConsumeVarint(in)
		case protowire.Fixed64Type:
			field.number, n = protowire.ConsumeFixed64(in)
		case protowire.BytesType:
			field.bytes, n = protowire.ConsumeBytes(in)
		default:
			a.fail(fmt.Errorf("field %d: unexpected wire type %d", tag, wireType))
			return
		}
		if n < 0 {
			a.fail(protowire.ParseError(n))
			return
		}
		a.fields[tag] = append(a.fields[tag], field)
		in = in[n:]
	}
}

// finish fails if a decoded field was taken by no method.
func (a *archive) finish() {
	if a.err == nil && len(a.fields) > 0 {
		a.fail(fmt.Errorf("field %d: unknown to this build", slices.Min(slices.Collect(maps.Keys(a.fields)))))
	}
}

// take removes a field and returns its last value.
func (a *archive) take(tag protowire.Number) (wireField, bool) {
	all := a.fields[tag]
	if len(all) == 0 {
		return wireField{}, false
	}
	delete(a.fields, tag)
	return all[len(all)-1], true
}

// skip discards fields that only earlier builds wrote.
func (a *archive) skip(tags ...protowire.Number) {
	for _, tag := range tags {
		if !a.saving {
			a.take(tag)
		}
	}
}

// uint encodes or decodes a varint.
func (a *archive) uint(tag protowire.Number, v *uint64) {
	if a.saving {
		if *v != 0 {
			a.out = protowire.AppendVarint(protowire.AppendTag(a.out, tag, protowire.VarintType), *v)
		}
		return
	}
	field, _ := a.take(tag)
	*v = field.number
}

// integer encodes or decodes a signed number as a zigzag varint.
func integer[T ~int | ~int64 | ~uint8 | ~uint32](a *archive, tag protowire.Number, v *T) {
	u := protowire.EncodeZigZag(int64(*v))
	a.uint(tag, &u)
	if *v = T(protowire.DecodeZigZag(u)); !a.saving && int64(*v) != protowire.DecodeZigZag(u) {
		a.fail(fmt.Errorf("field %d: out of range", tag))
	}
}

func (a *archive) bool(tag protowire.Number, v *bool) {
	u := uint64(boolToFloat(*v))
	a.uint(tag, &u)
	*v = u != 0
}

// fixed encodes or decodes a fixed 64-bit number.
func (a *archive) fixed(tag protowire.Number, v *uint64) {
	if a.saving {
		if *v != 0 {
			a.out = protowire.AppendFixed64(protowire.AppendTag(a.out, tag, protowire.Fixed64Type), *v)
		}
		return
	}
	field, _ := a.take(tag)
	*v = field.number
}

// float encodes or decodes a float64 bit by bit, including the sign of a zero.
func (a *archive) float(tag protowire.Number, v *float64) {
	u := math.Float64bits(*v)
	a.fixed(tag, &u)
	*v = math.Float64frombits(u)
}

// floatFields encodes or decodes floats under consecutive tags from first on. A nil field
// skips its tag.
func (a *archive) floatFields(first protowire.Number, fields ...*float64) {
	for i, v := range fields {
		if v != nil {
			a.float(first+protowire.Number(i), v)
		}
	}
}

// floats encodes or decodes a list of floats, each in a message of its own.
func (a *archive) floats(tag protowire.Number, v *[]float64) {
	a.each(tag, len(*v), func(n int) { *v = make([]float64, n) }, func(i int, entry *archive) { entry.float(1, &(*v)[i]) })
}

// uints encodes or decodes a list of numbers, each in a message of its own.
func (a *archive) uints(tag protowire.Number, v *[]uint64) {
	a.each(tag, len(*v), func(n int) {
		if *v = nil; n > 0 {
			*v = make([]uint64, n)
		}
	}, func(i int, entry *archive) { entry.uint(1, &(*v)[i]) })
}

func (a *archive) string(tag protowire.Number, v *string) {
	if a.saving {
		if *v != "" {
			a.out = protowire.AppendString(protowire.AppendTag(a.out, tag, protowire.BytesType), *v)
		}
	} else if field, ok := a.take(tag); ok {
		*v = string(field.bytes)
	}
}

// message encodes or decodes one message.
func (a *archive) message(tag protowire.Number, fields func(*archive)) {
	a.each(tag, 1, func(n int) {
		if n > 1 {
			a.fail(fmt.Errorf("field %d: expected at most 1 message, found %d", tag, n))
		}
	}, func(_ int, entry *archive) { fields(entry) })
}

// each encodes n messages, or decodes all messages of a tag after a call of resize with their
// number.
func (a *archive) each(tag protowire.Number, n int, resize func(n int), fields func(i int, entry *archive)) {
	if a.saving {
		entry := archive{saving: true}
		for i := range n {
			entry.out = entry.out[:0]
			fields(i, &entry)
			a.out = protowire.AppendBytes(protowire.AppendTag(a.out, tag, protowire.BytesType), entry.out)
		}
		return
	}
	all := a.fields[tag]
	delete(a.fields, tag)
	resize(len(all))
	for i, field := range all {
		if a.err != nil {
			return
		}
		entry := archive{}
		entry.parse(field.bytes)
		if entry.err == nil {
			fields(i, &entry)
		}
		if entry.finish(); entry.err != nil {
			a.fail(fmt.Errorf("field %d, entry %d: %w", tag, i, entry.err))
		}
	}
}

// sortedMap encodes or decodes a map's entries in the order of their keys.
func sortedMap[K cmp.Ordered, V any](a *archive, tag protowire.Number, m *map[K]V, fields func(k *K, v *V, entry *archive)) {
	var keys []K
	if a.saving {
		keys = slices.Sorted(maps.Keys(*m))
	}
	a.each(tag, len(keys), func(n int) {
		*m = make(map[K]V, n)
		keys = make([]K, n)
	}, func(i int, entry *archive) {
		v := (*m)[keys[i]]
		if fields(&keys[i], &v, entry); !entry.saving {
			(*m)[keys[i]] = v
		}
	})
}

// nameIndex encodes or decodes a map from names to indices as the list of names.
func (a *archive) nameIndex(tag protowire.Number, index *map[string]int) {
	var names []string
	if a.saving {
		names = make([]string, len(*index))
		for name, i := range *index {
			names[i] = name
		}
	}
	a.each(tag, len(names), func(n int) { names = make([]string, n) }, func(i int, entry *archive) {
		entry.string(1, &names[i])
		(*index)[names[i]] = i
	})
}
