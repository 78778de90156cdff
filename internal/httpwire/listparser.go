package httpwire

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
	Endpoints int      // entries
	Zones     []string // that entries may name; empty: any
}

// Bounds on a single entry and on its figures.
const (
	maxEntryBytes = 64 << 10
	maxWeight     = 1e6
)

// InvalidListError says that a list was read whole, or far enough to see that it is not to be used: the list
// held before it stays in force.
type InvalidListError struct{ Reason string }

func (e *InvalidListError) Error() string { return "list refused: " + e.Reason }

func invalidList(format string, args ...any) error {
	return &InvalidListError{fmt.Sprintf(format, args...)}
}

// ParseList reads a list that stands in memory, within no limits but those of each entry.
func ParseList(text []byte) (EndpointList, error) {
	return ReadList(bytes.NewReader(text), ListLimits{})
}

// ReadList reads a list entry by entry, to the end of the text. It never holds more of the text than
// an entry, so the limits bound its memory whatever the text's length and framing.
func ReadList(r io.Reader, limits ListLimits) (EndpointList, error) {
	p := &listParser{limits: limits, input: &boundedReader{reader: r}}
	p.decoder = json.NewDecoder(p.input)
	err := p.parseObject()
	var refused *InvalidListError
	if err != nil && !errors.As(err, &refused) {
		err = fmt.Errorf("list: %w", err)
	}
	return p.list, err
}

// listParser is one reading of a list.
type listParser struct {
	limits     ListLimits
	input      *boundedReader
	decoder    *json.Decoder
	list       EndpointList
	seenKeys   map[string]bool // the keys that have come
	index      int             // of the entry that comes
	entryText  json.RawMessage // its text
	extraZones map[string]bool // that entries name and the settings don't
}

// parseObject reads the list's object and makes sure that nothing follows it.
func (p *listParser) parseObject() error {
	if err := p.expectDelimiter('{'); err != nil {
		return err
	}
	p.seenKeys = map[string]bool{}
	for p.decoder.More() {
		if err := p.parseMember(); err != nil {
			return err
		}
	}
	if err := p.expectDelimiter('}'); err != nil {
		return err
	}
	if p.list.Reset {
		p.mergeDuplicates()
	}
	p.input.reset()
	if _, err := p.decoder.Token(); err != io.EOF {
		if err == nil {
			err = errors.New("text behind the end")
		}
		return err
	}
	return nil
}

// parseMember reads one key of the list and its value.
func (p *listParser) parseMember() error {
	p.input.reset()
	token, err := p.decoder.Token()
	if err != nil {
		return err
	}
	key := strings.ToLower(token.(string)) // a key is a string, or Token fails
	if p.seenKeys[key] {
		return invalidList("%.40q stands twice", key)
	}
	if len(p.seenKeys) < maxTrackedKeys {
		p.seenKeys[key] = true
	}
	switch key {
	case "generation":
		return p.decoder.Decode(&p.list.Generation)
	case "reset":
		return p.decoder.Decode(&p.list.Reset)
	case "instances":
		return p.parseEndpoints()
	}
	return p.decoder.Decode(new(json.RawMessage))
}

// maxTrackedKeys bounds the keys that are remembered, to be refused where they come again.
const maxTrackedKeys = 64

// InvalidEntry is an entry of a list that could not be taken as it stands. It costs that entry alone: what
// of it can be used is taken, and the other entries hold.
type InvalidEntry struct {
	Index  int // in the list
	ID     string
	Reason string
}

// maxReportedEntries bounds the odd entries that are told one by one.
const maxReportedEntries = 8

// reportInvalid notes an odd entry.
func (p *listParser) reportInvalid(entry *Endpoint, format string, args ...any) {
	if p.list.InvalidEntryCount++; len(p.list.InvalidEntries) < maxReportedEntries {
		p.list.InvalidEntries = append(p.list.InvalidEntries, InvalidEntry{p.index, fmt.Sprintf("%.60s", entry.ID), fmt.Sprintf(format, args...)})
	}
}

// parseEndpoints reads the array of entries.
func (p *listParser) parseEndpoints() error {
	token, err := p.decoder.Token()
	if err != nil || token == nil { // null: none
		return err
	}
	if token != json.Delim('[') {
		return fmt.Errorf("instances: expected an array, got %v", token)
	}
	for p.decoder.More() {
		p.input.reset()
		if err := p.decoder.Decode(&p.entryText); err != nil {
			return fmt.Errorf("instances[%d]: %w", p.index, err)
		}
		entry, usable := p.parseEntry()
		if usable {
			if most := p.limits.Endpoints; most > 0 && len(p.list.Endpoints) >= most {
				return invalidList("over %d entries, which the memory limit allows", most)
			}
			p.list.Endpoints = append(p.list.Endpoints, entry)
		}
		p.index++
	}
	return p.expectDelimiter(']')
}

// parseEntry reads the entry whose text has come. One that is odd is told, and usable where its id and the
// state of its replica can be read.
func (p *listParser) parseEntry() (entry Endpoint, usable bool) {
	if err := json.Unmarshal(p.entryText, &entry); err != nil {
		entry = recoverEntry(p.entryText)
		p.reportInvalid(&entry, "%v", err)
		return entry, entry.ID != ""
	}
	if entry.ID == "" {
		p.reportInvalid(&entry, "without instanceId")
		return entry, false
	}
	if entry.Addr == "" && entry.Lifecycle != lifecycleGone {
		p.reportInvalid(&entry, "without hostPort")
		entry.Partial = true
	}
	if !(entry.Weight >= 0 && entry.Weight <= maxWeight) {
		p.reportInvalid(&entry, "weight %v, expected 0 to %v: taken for none", entry.Weight, maxWeight)
		entry.Weight = 0
	}
	if !p.hasKnownZone(&entry) {
		p.reportInvalid(&entry, "zone %.60q, which the settings don't name", entry.Zone)
		entry.Partial = entry.Partial || !p.admitExtraZone(entry.Zone)
	}
	return entry, true
}

// recoverEntry reads the id and the state of an entry of which more cannot be read. Without an id it is of
// no use.
func recoverEntry(text []byte) (entry Endpoint) {
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

// maxExtraZones and maxZoneLength bound the zones that entries may name beside those of the settings.
const maxExtraZones, maxZoneLength = 32, 128

// admitExtraZone tells whether one more zone can be served.
func (p *listParser) admitExtraZone(zone string) bool {
	if p.extraZones[zone] {
		return true
	}
	if len(zone) > maxZoneLength || len(p.extraZones) >= maxExtraZones {
		return false
	}
	if p.extraZones == nil {
		p.extraZones = map[string]bool{}
	}
	p.extraZones[zone] = true
	return true
}

// hasKnownZone tells whether the entry's zone is one that the settings name. An entry that only says
// that its replica has gone needs none.
func (p *listParser) hasKnownZone(entry *Endpoint) bool {
	if len(p.limits.Zones) == 0 || entry.Zone == "" || entry.Lifecycle == lifecycleGone {
		return true
	}
	return slices.Contains(p.limits.Zones, entry.Zone)
}

// mergeDuplicates leaves one entry of each id in a whole list. The last one counts, as among changes, but
// where any of them says that its replica takes no new work, that holds.
func (p *listParser) mergeDuplicates() {
	at := make(map[string]int, len(p.list.Endpoints))
	kept := p.list.Endpoints[:0]
	for _, entry := range p.list.Endpoints {
		i, again := at[entry.ID]
		if !again {
			at[entry.ID] = len(kept)
			kept = append(kept, entry)
			continue
		}
		p.reportInvalid(&entry, "named twice")
		if kept[i].Lifecycle != lifecycleReady {
			entry.Lifecycle = kept[i].Lifecycle
		}
		kept[i] = entry
	}
	p.list.Endpoints = kept
}

func (p *listParser) expectDelimiter(want json.Delim) error {
	p.input.reset()
	token, err := p.decoder.Token()
	if err != nil {
		return err
	}
	if token != want {
		return fmt.Errorf("expected %q, got %v", want.String(), token)
	}
	return nil
}

// boundedReader is a reader of which only so much may be read until it is renewed: a decoder that holds
// the text of one value cannot grow beyond it.
type boundedReader struct {
	reader io.Reader
	used   int
}

func (a *boundedReader) reset() { a.used = 0 }

func (a *boundedReader) Read(p []byte) (int, error) {
	if a.used >= maxEntryBytes {
		return 0, invalidList("a value of over %d bytes", maxEntryBytes)
	}
	n, err := a.reader.Read(p[:min(len(p), maxEntryBytes-a.used)])
	a.used += n
	return n, err
}
