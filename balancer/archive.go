package balancer

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"

	"google.golang.org/protobuf/encoding/protowire"
)

// archive carries fields to or from protobuf's wire form. Each method names a field once
// and serves both ways: it writes the value when saving and sets it when loading. The
// first error stays.
type archive struct {
	saving bool
	out    []byte
	got    map[protowire.Number][]wireField // read and not yet taken
	err    error
}

// wireField is one field as it was read.
type wireField struct {
	number uint64 // a varint or a fixed value
	bytes  []byte
}

// fail notes the first error.
func (a *archive) fail(err error) {
	if a.err == nil {
		a.err = err
	}
}

// parse reads all fields of a message.
func (a *archive) parse(in []byte) {
	a.got = map[protowire.Number][]wireField{}
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
		a.got[tag] = append(a.got[tag], field)
		in = in[n:]
	}
}

// finish fails if a field was read that no method has taken.
func (a *archive) finish() {
	if a.err == nil && len(a.got) > 0 {
		a.fail(fmt.Errorf("field %d is not known to this build", slices.Min(slices.Collect(maps.Keys(a.got)))))
	}
}

// take takes the last value of a field.
func (a *archive) take(tag protowire.Number) (wireField, bool) {
	all := a.got[tag]
	if len(all) == 0 {
		return wireField{}, false
	}
	delete(a.got, tag)
	return all[len(all)-1], true
}

// skip ignores fields of earlier builds.
func (a *archive) skip(tags ...protowire.Number) {
	for _, tag := range tags {
		if !a.saving {
			a.take(tag)
		}
	}
}

// uint carries a varint.
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

// integer carries a signed number, zigzag encoded.
func integer[T ~int | ~int64 | ~uint8 | ~uint32](a *archive, tag protowire.Number, v *T) {
	u := protowire.EncodeZigZag(int64(*v))
	a.uint(tag, &u)
	if *v = T(protowire.DecodeZigZag(u)); !a.saving && int64(*v) != protowire.DecodeZigZag(u) {
		a.fail(fmt.Errorf("field %d: out of range", tag))
	}
}

// bool carries a bool.
func (a *archive) bool(tag protowire.Number, v *bool) {
	u := uint64(boolToFloat(*v))
	a.uint(tag, &u)
	*v = u != 0
}

// fixed carries a number of 64 bits.
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

// float carries a float64 with every bit, the sign of a zero included.
func (a *archive) float(tag protowire.Number, v *float64) {
	u := math.Float64bits(*v)
	a.fixed(tag, &u)
	*v = math.Float64frombits(u)
}

// floatFields carries floats under consecutive tags from first on; nil stands for a tag
// that is not used.
func (a *archive) floatFields(first protowire.Number, fields ...*float64) {
	for i, v := range fields {
		if v != nil {
			a.float(first+protowire.Number(i), v)
		}
	}
}

// floats carries a list of floats, each in a message of its own.
func (a *archive) floats(tag protowire.Number, v *[]float64) {
	a.each(tag, len(*v), func(n int) { *v = make([]float64, n) }, func(i int, entry *archive) { entry.float(1, &(*v)[i]) })
}

// uints carries a list of numbers, each in a message of its own.
func (a *archive) uints(tag protowire.Number, v *[]uint64) {
	a.each(tag, len(*v), func(n int) {
		if *v = nil; n > 0 {
			*v = make([]uint64, n)
		}
	}, func(i int, entry *archive) { entry.uint(1, &(*v)[i]) })
}

// string carries a string.
func (a *archive) string(tag protowire.Number, v *string) {
	if a.saving {
		if *v != "" {
			a.out = protowire.AppendString(protowire.AppendTag(a.out, tag, protowire.BytesType), *v)
		}
	} else if field, ok := a.take(tag); ok {
		*v = string(field.bytes)
	}
}

// message carries one message.
func (a *archive) message(tag protowire.Number, fields func(*archive)) {
	a.each(tag, 1, func(n int) {
		if n > 1 {
			a.fail(fmt.Errorf("field %d: given %d times", tag, n))
		}
	}, func(_ int, entry *archive) { fields(entry) })
}

// each carries n messages. When loading, resize is first called with their number.
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
	all := a.got[tag]
	delete(a.got, tag)
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

// sortedMap carries a map's entries in the order of their keys.
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

// nameIndex carries names by their index.
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
