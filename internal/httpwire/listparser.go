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

// ListLimits bounds the memory that a list may take.
type ListLimits struct {
	Endpoints int      // most entries; 0: any number
	Zones     []string // zones of the settings; empty: entries may name any
}

// Bounds of a list.
const (
	maxEntryBytes = 64 << 10
	maxWeight     = 1e6
	// maxTrackedKeys bounds the keys that are remembered, so that one that is given again is an error.
	maxTrackedKeys = 64
	// maxReportedEntries bounds the invalid entries that are reported one by one.
	maxReportedEntries = 8
	// maxUnconfiguredZones and maxZoneLength bound the zones that entries may name beside those of the settings.
	maxUnconfiguredZones = 32
	maxZoneLength        = 128
)

// InvalidListError says that a list could be read but must not be used: the list before it stays in force.
type InvalidListError struct{ Reason string }

// Error returns the reason.
func (e *InvalidListError) Error() string { return "list refused: " + e.Reason }

func invalidList(format string, args ...any) error {
	return &InvalidListError{fmt.Sprintf(format, args...)}
}

// ParseList parses a list that is in memory, with no limits but those of each entry.
func ParseList(text []byte) (EndpointList, error) {
	return ReadList(bytes.NewReader(text), ListLimits{})
}

// ReadList reads a list entry by entry, to the end of the text. It buffers one entry of the text at a time, so the
// limits bound its memory whatever the text's length and framing. The error is an InvalidListError where the list
// could be read but must not be used.
func ReadList(r io.Reader, limits ListLimits) (EndpointList, error) {
	p := &listParser{limits: limits, input: &boundedReader{reader: r}}
	p.decoder = json.NewDecoder(p.input)
	err := p.parseObject()
	var invalid *InvalidListError
	if err != nil && !errors.As(err, &invalid) {
		err = fmt.Errorf("list: %w", err)
	}
	return p.list, err
}

// listParser is one reading of a list.
type listParser struct {
	limits            ListLimits
	input             *boundedReader
	decoder           *json.Decoder
	list              EndpointList
	seenKeys          map[string]bool // keys of the object so far, in lower case
	index             int             // of the entry that is parsed next
	entryText         json.RawMessage // its text
	unconfiguredZones map[string]bool // zones that entries name and the settings do not
}

// parseObject parses the list's object and checks that nothing follows it.
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
	_, err := p.decoder.Token()
	if errors.Is(err, io.EOF) {
		return nil
	}
	if err == nil {
		err = errors.New("text behind the end")
	}
	return err
}

// parseMember parses one key of the object and its value. Unknown keys are ignored.
func (p *listParser) parseMember() error {
	p.input.reset()
	token, err := p.decoder.Token()
	if err != nil {
		return err
	}
	name, ok := token.(string)
	if !ok {
		return fmt.Errorf("expected a key, got %v", token)
	}
	key := strings.ToLower(name) // as encoding/json matches keys
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

// InvalidEntry reports an entry of a list that cannot be used as it is. Only that entry suffers: what can be used of
// it is, and the other entries are not affected.
type InvalidEntry struct {
	Index  int // in the list, from 0
	ID     string
	Reason string
}

// reportInvalid adds an entry to the list's invalid ones.
func (p *listParser) reportInvalid(entry *Endpoint, format string, args ...any) {
	p.list.InvalidEntryCount++
	if len(p.list.InvalidEntries) >= maxReportedEntries {
		return
	}
	p.list.InvalidEntries = append(p.list.InvalidEntries, InvalidEntry{
		Index:  p.index,
		ID:     fmt.Sprintf("%.60s", entry.ID),
		Reason: fmt.Sprintf(format, args...),
	})
}

// parseEndpoints parses the array of entries.
func (p *listParser) parseEndpoints() error {
	token, err := p.decoder.Token()
	if err != nil || token == nil { // null stands for no entries
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
			if limit := p.limits.Endpoints; limit > 0 && len(p.list.Endpoints) >= limit {
				return invalidList("over %d entries, which the memory limit allows", limit)
			}
			p.list.Endpoints = append(p.list.Endpoints, entry)
		}
		p.index++
	}
	return p.expectDelimiter(']')
}

// parseEntry parses entryText. An invalid entry is reported, and usable if its id can be parsed.
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
	if !p.hasConfiguredZone(&entry) {
		p.reportInvalid(&entry, "zone %.60q, which the settings don't name", entry.Zone)
		entry.Partial = entry.Partial || !p.acceptUnconfiguredZone(entry.Zone)
	}
	return entry, true
}

// recoverEntry returns the id and the state of an entry that cannot be parsed as a whole. The id is empty if not
// even that can be parsed.
func recoverEntry(text []byte) (entry Endpoint) {
	var fields map[string]json.RawMessage
	if json.Unmarshal(text, &fields) != nil {
		return entry
	}
	for name, value := range fields {
		switch strings.ToLower(name) {
		case "instanceid":
			_ = json.Unmarshal(value, &entry.ID) // stays empty if it is no string
		case "lifecycle":
			_ = json.Unmarshal(value, &entry.Lifecycle)
		}
	}
	entry.Partial = true
	return entry
}

// acceptUnconfiguredZone reports whether replicas of a zone that the settings do not name can be used, which is bounded by
// the number of such zones.
func (p *listParser) acceptUnconfiguredZone(zone string) bool {
	if p.unconfiguredZones[zone] {
		return true
	}
	if len(zone) > maxZoneLength || len(p.unconfiguredZones) >= maxUnconfiguredZones {
		return false
	}
	if p.unconfiguredZones == nil {
		p.unconfiguredZones = map[string]bool{}
	}
	p.unconfiguredZones[zone] = true
	return true
}

// hasConfiguredZone reports whether the entry's zone is one that the settings name. An entry that only says that its
// replica is gone needs none.
func (p *listParser) hasConfiguredZone(entry *Endpoint) bool {
	if len(p.limits.Zones) == 0 || entry.Zone == "" || entry.Lifecycle == lifecycleGone {
		return true
	}
	return slices.Contains(p.limits.Zones, entry.Zone)
}

// mergeDuplicates leaves one entry of each id in a complete list. The last one counts, as among changes, but if any
// of them says that its replica takes no new requests, that state counts.
func (p *listParser) mergeDuplicates() {
	indexOf := make(map[string]int, len(p.list.Endpoints))
	merged := p.list.Endpoints[:0]
	for _, entry := range p.list.Endpoints {
		i, duplicate := indexOf[entry.ID]
		if !duplicate {
			indexOf[entry.ID] = len(merged)
			merged = append(merged, entry)
			continue
		}
		p.reportInvalid(&entry, "named twice")
		if merged[i].Lifecycle != lifecycleReady {
			entry.Lifecycle = merged[i].Lifecycle
		}
		merged[i] = entry
	}
	p.list.Endpoints = merged
}

// expectDelimiter reads the next token and checks that it is a delimiter.
func (p *listParser) expectDelimiter(delimiter json.Delim) error {
	p.input.reset()
	token, err := p.decoder.Token()
	if err != nil {
		return err
	}
	if token != delimiter {
		return fmt.Errorf("expected %q, got %v", delimiter.String(), token)
	}
	return nil
}

// boundedReader is a reader of which maxEntryBytes can be read until it is reset: the buffer of a decoder that reads
// one value cannot grow beyond them.
type boundedReader struct {
	reader io.Reader
	used   int
}

func (b *boundedReader) reset() { b.used = 0 }

// Read fails with an InvalidListError at the bound.
func (b *boundedReader) Read(p []byte) (int, error) {
	if b.used >= maxEntryBytes {
		return 0, invalidList("a value of over %d bytes", maxEntryBytes)
	}
	n, err := b.reader.Read(p[:min(len(p), maxEntryBytes-b.used)])
	b.used += n
	return n, err
}
