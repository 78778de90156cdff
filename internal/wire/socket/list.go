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
	index     int             // of the entry that comes
	text      json.RawMessage // its text
	zones     map[string]bool // that entries name and the settings don't
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
		p.mergeDoubles()
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

// OddEntry is an entry of a list that could not be taken as it stands. It costs that entry alone: what
// of it can be used is taken, and the other entries hold.
type OddEntry struct {
	Index  int // in the list
	ID     string
	Reason string
}

// mostOdd bounds the odd entries that are told one by one.
const mostOdd = 8

// odd notes an odd entry.
func (p *listParser) odd(entry *Instance, format string, args ...any) {
	if p.list.OddEntries++; len(p.list.Odd) < mostOdd {
		p.list.Odd = append(p.list.Odd, OddEntry{p.index, fmt.Sprintf("%.60s", entry.ID), fmt.Sprintf(format, args...)})
	}
}

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
		if err := p.in.Decode(&p.text); err != nil {
			return fmt.Errorf("instances[%d]: %w", p.index, err)
		}
		entry, usable := p.entry()
		if usable {
			if most := p.limits.Instances; most > 0 && len(p.list.Instances) >= most {
				return badList("over %d entries, which the memory limit allows", most)
			}
			p.list.Instances = append(p.list.Instances, entry)
		}
		p.index++
	}
	return p.delimiter(']')
}

// entry reads the entry whose text has come. One that is odd is told, and usable where its id and the
// state of its replica can be read.
func (p *listParser) entry() (entry Instance, usable bool) {
	if err := json.Unmarshal(p.text, &entry); err != nil {
		entry = salvage(p.text)
		p.odd(&entry, "%v", err)
		return entry, entry.ID != ""
	}
	if entry.ID == "" {
		p.odd(&entry, "without instanceId")
		return entry, false
	}
	if entry.Addr == "" && entry.Lifecycle != gone {
		p.odd(&entry, "without hostPort")
		entry.Partial = true
	}
	if !(entry.Weight >= 0 && entry.Weight <= maxWeight) {
		p.odd(&entry, "weight %v, expected 0 to %v: taken for none", entry.Weight, maxWeight)
		entry.Weight = 0
	}
	if !p.knownZone(&entry) {
		p.odd(&entry, "zone %.60q, which the settings don't name", entry.Zone)
		entry.Partial = entry.Partial || !p.mayBeZone(entry.Zone)
	}
	return entry, true
}

// salvage reads the id and the state of an entry of which more cannot be read. Without an id it is of
// no use.
func salvage(text []byte) (entry Instance) {
	var fields map[string]json.RawMessage
	if json.Unmarshal(text, &fields) != nil {
		return entry
	}
	for name, value := range fields {
		switch strings.ToLower(name) {
		case "instanceid":
			_ = json.Unmarshal(value, &entry.ID) // "" where it is no string
		case "lifecycle":
			_ = json.Unmarshal(value, &entry.Lifecycle)
		}
	}
	entry.Partial = true
	return entry
}

// mostZones and maxZone bound the zones that entries may name beside those of the settings.
const mostZones, maxZone = 32, 128

// mayBeZone tells whether one more zone can be served.
func (p *listParser) mayBeZone(zone string) bool {
	if p.zones[zone] {
		return true
	}
	if len(zone) > maxZone || len(p.zones) >= mostZones {
		return false
	}
	if p.zones == nil {
		p.zones = map[string]bool{}
	}
	p.zones[zone] = true
	return true
}

// knownZone tells whether the entry's zone is one that the settings name. An entry that only says
// that its replica has gone needs none.
func (p *listParser) knownZone(entry *Instance) bool {
	if len(p.limits.Zones) == 0 || entry.Zone == "" || entry.Lifecycle == gone {
		return true
	}
	return slices.Contains(p.limits.Zones, entry.Zone)
}

// mergeDoubles leaves one entry of each id in a whole list. The last one counts, as among changes, but
// where any of them says that its replica takes no new work, that holds.
func (p *listParser) mergeDoubles() {
	at := make(map[string]int, len(p.list.Instances))
	kept := p.list.Instances[:0]
	for _, entry := range p.list.Instances {
		i, again := at[entry.ID]
		if !again {
			at[entry.ID] = len(kept)
			kept = append(kept, entry)
			continue
		}
		p.odd(&entry, "named twice")
		if kept[i].Lifecycle != ready {
			entry.Lifecycle = kept[i].Lifecycle
		}
		kept[i] = entry
	}
	p.list.Instances = kept
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
