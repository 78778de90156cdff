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

// ListLimits bounds the memory that an endpoint list occupies.
type ListLimits struct {
	Endpoints int      // the maximum number of entries; 0: no limit
	Zones     []string // the zones in the settings; empty: entries may have any zone
}

// Limits of an endpoint list.
const (
	// maxEntryBytes bounds the text of an entry, or of another value of the list's object, in bytes.
	maxEntryBytes = 64 << 10
	maxWeight     = 1e6
	// maxTrackedKeys bounds the keys that are stored to detect duplicates.
	maxTrackedKeys = 64
	// maxReportedEntries bounds the invalid entries that are reported individually.
	maxReportedEntries = 8
	// maxUnconfiguredZones bounds the accepted zones that are not in the settings.
	maxUnconfiguredZones = 32
	// maxZoneLength bounds the name of such a zone, in bytes.
	maxZoneLength = 128
)

// InvalidListError reports a list that could be read but must not be used. The previous list stays in force.
type InvalidListError struct{ Reason string }

// Error returns the reason, after a prefix.
func (e *InvalidListError) Error() string { return "endpoint list rejected: " + e.Reason }

func invalidList(format string, args ...any) error {
	return &InvalidListError{fmt.Sprintf(format, args...)}
}

// ParseList parses a list that is in memory, as ReadList does. It limits neither the number of entries nor the zones.
func ParseList(text []byte) (EndpointList, error) {
	return ReadList(bytes.NewReader(text), ListLimits{})
}

// ReadList reads a list entry by entry, to the end of r. It buffers the text of one entry at a time, so the limits
// bound the memory that it uses, whatever the length of the text. The error is an InvalidListError if the list could
// be read but must not be used.
func ReadList(r io.Reader, limits ListLimits) (EndpointList, error) {
	p := &listParser{limits: limits, input: &boundedReader{reader: r}}
	p.decoder = json.NewDecoder(p.input)
	err := p.parseObject()
	var invalid *InvalidListError
	if err != nil && !errors.As(err, &invalid) {
		err = fmt.Errorf("endpoint list: %w", err)
	}
	return p.list, err
}

// listParser parses one list.
type listParser struct {
	limits            ListLimits
	input             *boundedReader
	decoder           *json.Decoder
	list              EndpointList
	seenKeys          map[string]bool // the object's keys so far, in lower case
	index             int             // of the current entry
	entryText         json.RawMessage // the text of the current entry
	unconfiguredZones map[string]bool // accepted zones that are not in the settings
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
		err = errors.New("unexpected data after the end of the list")
	}
	return err
}

// parseMember parses one key of the list's object and its value. Unknown keys are ignored.
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
		return invalidList("duplicate key %.40q", key)
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

// InvalidEntry reports an invalid entry of a list. Its valid fields are used as far as possible, and the other
// entries are not affected.
type InvalidEntry struct {
	Index  int // in the list, from 0
	ID     string
	Reason string
}

// reportInvalid counts an invalid entry, and adds it to the reported ones while there are fewer than
// maxReportedEntries.
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
	if err != nil || token == nil { // null means no entries
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
				return invalidList("more than %d entries, the maximum that the memory limit allows", limit)
			}
			p.list.Endpoints = append(p.list.Endpoints, entry)
		}
		p.index++
	}
	return p.expectDelimiter(']')
}

// parseEntry parses entryText. It reports an invalid entry, which is still usable if its id can be parsed.
func (p *listParser) parseEntry() (entry Endpoint, usable bool) {
	if err := json.Unmarshal(p.entryText, &entry); err != nil {
		entry = recoverEntry(p.entryText)
		p.reportInvalid(&entry, "%v", err)
		return entry, entry.ID != ""
	}
	if entry.ID == "" {
		p.reportInvalid(&entry, "missing instanceId")
		return entry, false
	}
	if entry.Addr == "" && entry.Lifecycle != lifecycleGone {
		p.reportInvalid(&entry, "missing hostPort")
		entry.Partial = true
	}
	if !(entry.Weight >= 0 && entry.Weight <= maxWeight) {
		p.reportInvalid(&entry, "weight %v is not between 0 and %v; ignored", entry.Weight, maxWeight)
		entry.Weight = 0
	}
	if !p.hasConfiguredZone(&entry) {
		p.reportInvalid(&entry, "zone %.60q is not in the settings", entry.Zone)
		entry.Partial = entry.Partial || !p.acceptUnconfiguredZone(entry.Zone)
	}
	return entry, true
}

// recoverEntry returns the id and the lifecycle of an entry that cannot be parsed as a whole. The id is empty if it
// cannot be parsed either.
func recoverEntry(text []byte) (entry Endpoint) {
	var fields map[string]json.RawMessage
	if json.Unmarshal(text, &fields) != nil {
		return entry
	}
	for name, value := range fields {
		switch strings.ToLower(name) {
		case "instanceid":
			_ = json.Unmarshal(value, &entry.ID) // stays empty if the value is not a string
		case "lifecycle":
			_ = json.Unmarshal(value, &entry.Lifecycle)
		}
	}
	entry.Partial = true
	return entry
}

// acceptUnconfiguredZone reports whether replicas of a zone that is not in the settings can be used. The length
// and the number of such zones are limited.
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

// hasConfiguredZone reports whether the entry's zone is in the settings. It is true as well if the settings have no
// zones, or if the entry has none or is of a replica that was removed, which needs none.
func (p *listParser) hasConfiguredZone(entry *Endpoint) bool {
	if len(p.limits.Zones) == 0 || entry.Zone == "" || entry.Lifecycle == lifecycleGone {
		return true
	}
	return slices.Contains(p.limits.Zones, entry.Zone)
}

// mergeDuplicates keeps one entry for each id in a complete list: the last one, as in a list of changes. If any
// entry of the id has a lifecycle other than "ready", the merged entry is not ready either.
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
		p.reportInvalid(&entry, "duplicate instanceId")
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

// boundedReader returns at most maxEntryBytes between two calls of reset. This bounds the buffer that a json.Decoder
// grows while it reads one value.
type boundedReader struct {
	reader io.Reader
	used   int
}

func (b *boundedReader) reset() { b.used = 0 }

// Read implements io.Reader. It returns an InvalidListError at the limit.
func (b *boundedReader) Read(p []byte) (int, error) {
	if b.used >= maxEntryBytes {
		return 0, invalidList("value exceeds %d bytes", maxEntryBytes)
	}
	n, err := b.reader.Read(p[:min(len(p), maxEntryBytes-b.used)])
	b.used += n
	return n, err
}
