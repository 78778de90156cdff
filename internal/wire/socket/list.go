package socket

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
)

// ListLimits bounds what a list may take up.
type ListLimits struct {
	Instances int      // entries
	Zones     []string // that entries may name; empty: any
}

// Bounds on a single entry and on its figures.
const (
	maxEntryText = 64 << 10
	maxWeight    = 1e6
)

// BadList says that a list was read whole, or far enough to see that it is not to be used: the list
// held before it stays in force.
type BadList struct{ Reason string }

func (e *BadList) Error() string { return "list refused: " + e.Reason }

func badList(format string, args ...any) error { return &BadList{fmt.Sprintf(format, args...)} }

// ParseList reads a list that stands in memory, within no limits but those of each entry.
func ParseList(text []byte) (List, error) {
	return ReadList(bytes.NewReader(text), ListLimits{})
}

// ReadList reads a list entry by entry, to the end of the text. It never holds more of the text than
// an entry, so the limits bound its memory whatever the text's length and framing.
func ReadList(r io.Reader, limits ListLimits) (List, error) {
	p := &listParser{limits: limits, allowance: &allowance{r: r}}
	p.in = json.NewDecoder(p.allowance)
	err := p.object()
	var refused *BadList
	if err != nil && !errors.As(err, &refused) {
		err = fmt.Errorf("list: %w", err)
	}
	return p.list, err
}

// listParser is one reading of a list.
type listParser struct {
	limits    ListLimits
	allowance *allowance
	in        *json.Decoder
	list      List
	read      map[string]bool // the keys that have come
}

// object reads the list's object and makes sure that nothing follows it.
func (p *listParser) object() error {
	if err := p.delimiter('{'); err != nil {
		return err
	}
	p.read = map[string]bool{}
	for p.in.More() {
		if err := p.member(); err != nil {
			return err
		}
	}
	if err := p.delimiter('}'); err != nil {
		return err
	}
	if p.list.Reset {
		if err := p.noDoubles(); err != nil {
			return err
		}
	}
	p.allowance.renew()
	if _, err := p.in.Token(); err != io.EOF {
		if err == nil {
			err = errors.New("text behind the end")
		}
		return err
	}
	return nil
}

// member reads one key of the list and its value.
func (p *listParser) member() error {
	p.allowance.renew()
	token, err := p.in.Token()
	if err != nil {
		return err
	}
	key := strings.ToLower(token.(string)) // a key is a string, or Token fails
	if p.read[key] {
		return badList("%.40q stands twice", key)
	}
	if len(p.read) < maxKeys {
		p.read[key] = true
	}
	switch key {
	case "generation":
		return p.in.Decode(&p.list.Generation)
	case "reset":
		return p.in.Decode(&p.list.Reset)
	case "instances":
		return p.instances()
	}
	return p.in.Decode(new(json.RawMessage))
}

// maxKeys bounds the keys that are remembered, to be refused where they come again.
const maxKeys = 64

// instances reads the array of entries.
func (p *listParser) instances() error {
	token, err := p.in.Token()
	if err != nil || token == nil { // null: none
		return err
	}
	if token != json.Delim('[') {
		return fmt.Errorf("instances: expected an array, got %v", token)
	}
	for p.in.More() {
		p.allowance.renew()
		var entry Instance
		if err := p.in.Decode(&entry); err != nil {
			return fmt.Errorf("instances[%d]: %w", len(p.list.Instances), err)
		}
		if err := p.check(&entry); err != nil {
			return err
		}
		p.list.Instances = append(p.list.Instances, entry)
	}
	return p.delimiter(']')
}

// check tells what is wrong with an entry.
func (p *listParser) check(entry *Instance) error {
	n := len(p.list.Instances)
	switch {
	case entry.ID == "" || entry.Addr == "" && entry.Lifecycle != "gone":
		return badList("instances[%d]: without instanceId or hostPort", n)
	case p.limits.Instances > 0 && n >= p.limits.Instances:
		return badList("over %d entries, which the memory limit allows", p.limits.Instances)
	case !(entry.Weight >= 0 && entry.Weight <= maxWeight):
		return badList("instances[%d] %.60q: weight %v, expected 0 to %v", n, entry.ID, entry.Weight, maxWeight)
	case !p.knownZone(entry):
		return badList("instances[%d] %.60q: unknown zone %.60q", n, entry.ID, entry.Zone)
	}
	return nil
}

// knownZone tells whether the entry's zone is one that the settings name. An entry that only says
// that its replica has gone needs none.
func (p *listParser) knownZone(entry *Instance) bool {
	if len(p.limits.Zones) == 0 || entry.Zone == "" || entry.Lifecycle == "gone" {
		return true
	}
	return slices.Contains(p.limits.Zones, entry.Zone)
}

// noDoubles refuses a whole list that names a replica twice. Changes may: the last one counts.
func (p *listParser) noDoubles() error {
	ids := make(map[string]bool, len(p.list.Instances))
	for i := range p.list.Instances {
		id := p.list.Instances[i].ID
		if ids[id] {
			return badList("instances[%d]: %.60q is named twice", i, id)
		}
		ids[id] = true
	}
	return nil
}

func (p *listParser) delimiter(want json.Delim) error {
	p.allowance.renew()
	token, err := p.in.Token()
	if err != nil {
		return err
	}
	if token != want {
		return fmt.Errorf("expected %q, got %v", want.String(), token)
	}
	return nil
}

// allowance is a reader of which only so much may be read until it is renewed: a decoder that holds
// the text of one value cannot grow beyond it.
type allowance struct {
	r    io.Reader
	used int
}

func (a *allowance) renew() { a.used = 0 }

func (a *allowance) Read(p []byte) (int, error) {
	if a.used >= maxEntryText {
		return 0, badList("a value of over %d bytes", maxEntryText)
	}
	n, err := a.r.Read(p[:min(len(p), maxEntryText-a.used)])
	a.used += n
	return n, err
}
