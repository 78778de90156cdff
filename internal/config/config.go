package config

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Config holds archknot's own settings, validated and with defaults applied.
type Config struct {
	File           string // path of the settings file; "": none
	Log            Log
	Control        Control
	Capture        Capture
	Incident       Incident
	ControlService ControlService

	Contracts Contracts
	Metrics   Metrics
	Peers     Peers
	Subset    Subset
}

// Log configures logging to standard error.
type Log struct{ Level string }

// Control configures the gateway's Unix socket for operator commands.
type Control struct {
	Socket string // path; "": none
}

// Capture configures the recording of the decision module's events and actions.
type Capture struct {
	Record             bool
	Directory          string
	CheckpointInterval time.Duration // between checkpoints of the module's state
	BlockSize          int64         // bytes
	FlushInterval      time.Duration // maximum wait of a record for its block to fill
	QueueBlocks        int           // blocks that may wait to be written to disk
	SegmentSize        int64         // bytes; a segment of this size is closed
	SegmentAge         time.Duration // a segment of this age is closed
	KeepSize           int64         // bytes of all segments; beyond it the oldest are deleted
	KeepAge            time.Duration // older segments are deleted
}

// Incident configures when the latest part of a capture is saved automatically.
type Incident struct {
	Directory           string
	MaxIncidents        int           // saved incidents; beyond it the oldest are deleted
	Window              time.Duration // length of the capture saved before the trigger
	MinInterval         time.Duration // between two automatic incidents
	EvaluationWindow    time.Duration // interval that the fractions below are computed over
	MinRequests         int           // in EvaluationWindow; with fewer there is no trigger
	UnservedFraction    float64       // fraction of late, shed, failed and abandoned requests that triggers; 0: never
	SlowFactor          float64       // a replica is slow at this multiple of its usual time to first token; 0: never
	SlowReplicaFraction float64       // fraction of slow replicas that triggers, among those that answered in EvaluationWindow
	NearDeadline        time.Duration // a final answer closer to the client's deadline triggers; 0: never
}

// ControlService configures the connection to the control service that streams the
// configuration.
type ControlService struct {
	Address      string        // host:port; "": no control service
	Protocol     string        // "world" or "delta"
	Cert         string        // path of the gateway's certificate (PEM)
	Key          string        // path of the certificate's private key (PEM)
	CA           string        // path of the certificate authorities of the service's certificate (PEM)
	ServerName   string        // expected in the service's certificate; "": the host of Address
	StorePath    string        // "": versions are not stored
	MinInterval  time.Duration // between two applied versions
	StallTimeout time.Duration // until a stream with an incomplete version is closed
}

// Metrics configures the Prometheus endpoint.
type Metrics struct {
	Listen   string // host:port; "": disabled
	MaxTeams int    // teams with separate metrics; the others are summed up
}

// Peers configures the connection to the other gateways, which take over the requests
// of a lost gateway.
type Peers struct {
	Listen               string // host:port; "": disabled
	Advertise            string // host:port at which other gateways reach this one; "": Listen
	Zone                 string
	Join                 string        // addresses of some other gateways, comma-separated
	Backups              int           // number of backups: gateways that record each request
	ReplyTimeout         time.Duration // for the answer of another gateway
	RecordTTL            time.Duration // of a request's record, from its gateway's last message about it
	FreezeThreshold      time.Duration // after a longer pause of its process the gateway checks its leases
	HandOverDelay        time.Duration // from SIGTERM until open requests are handed over
	MaxRecords           int           // requests of other gateways that are recorded at once
	MaxRecordsPerGateway int           // requests of one other gateway that are recorded at once
}

// Subset configures which replicas of a large fleet the gateway uses.
type Subset struct {
	MaxReplicas    int     // 0: no limit
	RemoteFraction float64 // fraction of the subset that is drawn from all zones
	GatewayIndex   int     // among the gateways; -1: the platform's value
}

// Default returns the default settings.
func Default() *Config {
	c := &Config{}
	for _, group := range schema(c) {
		setDefaults(group.name, group.keys)
	}
	return c
}

// Load reads and validates a settings file and the files that it includes. For "" it
// returns the defaults. The error is of type SettingErrors and lists all errors.
func Load(file string) (*Config, error) {
	c := Default()
	if file == "" {
		return c, nil
	}
	c.File = file
	var r reader
	r.readFile(file, "", noPosition)
	groups := schema(c)
	seen := map[string]entry{}
	for _, e := range r.entries {
		c.applyEntry(&r, groups, e, seen)
	}
	if len(r.problems) == 0 {
		v := validator{config: c, reader: &r, seen: seen}
		v.validate()
	}
	if err := r.err(); err != nil {
		return nil, err
	}
	return c, nil
}

// contractSection is the section of a team's contract, whose keys are contractKeys.
const contractSection = "contract"

// applyEntry sets the key that an entry names, or adds an error to r.
func (c *Config) applyEntry(r *reader, groups []keyGroup, e entry, seen map[string]entry) {
	fullName := e.section + "." + e.setting.Key
	i := slices.IndexFunc(groups, func(g keyGroup) bool { return g.name == e.section })
	switch {
	case e.section == contractSection:
		c.Contracts.applyEntry(r, e, seen)
	case e.section == "":
		r.addProblem(e.file, e.setting.Pos, e.setting.Key, "outside a section%s", suggestSection(groups, e.setting.Key))
	case i < 0:
		r.addProblem(e.file, e.setting.Pos, fullName, "no section [%s]%s", e.section, suggestWord(e.section, sectionNames(groups)))
	case e.label != "":
		r.addProblem(e.file, e.sectionPos, e.section, "section takes no label")
	default:
		r.assign(groups[i].keys, e, fullName, seen)
	}
}

// sectionNames returns the names of all sections of a settings file.
func sectionNames(groups []keyGroup) []string {
	names := []string{contractSection}
	for _, group := range groups {
		names = append(names, group.name)
	}
	return names
}

// suggestSection returns the end of an error message about a key outside all sections:
// the first section that has such a key, "" if none has.
func suggestSection(groups []keyGroup, name string) string {
	for _, group := range groups {
		if slices.Contains(keyNames(group.keys), name) {
			return fmt.Sprintf("; it belongs in [%s]", group.name)
		}
	}
	return ""
}

// Setting is one key with its current value and its description.
type Setting struct {
	Section string `json:"section"`
	Key     string `json:"key"`
	Value   string `json:"value"`
	Type    string `json:"form"`
	Default string `json:"default"`
	Doc     string `json:"doc"`
}

// Settings returns all keys with their values, in the order of the schema.
func (c *Config) Settings() []Setting {
	var settings []Setting
	for _, group := range schema(c) {
		for _, key := range group.keys {
			settings = append(settings, Setting{
				Section: group.name,
				Key:     key.name,
				Value:   key.get(),
				Type:    key.valueType,
				Default: key.defaultText,
				Doc:     key.doc,
			})
		}
	}
	return settings
}

// Text returns the settings as a settings file, with documentation as comments if docs
// is set. It loads to the same settings, except for sizes, which formatSize rounds.
func (c *Config) Text(docs bool) string {
	var b strings.Builder
	for i, group := range schema(c) {
		if i > 0 {
			b.WriteByte('\n')
		}
		if docs {
			fmt.Fprintf(&b, "# %s\n", group.doc)
		}
		fmt.Fprintf(&b, "[%s]\n", group.name)
		for _, key := range group.keys {
			if docs {
				fmt.Fprintf(&b, "# %s: %s (%s)\n", key.name, key.doc, key.valueType)
			}
			b.WriteString(key.line())
		}
	}
	for i := range c.Contracts.Teams {
		b.WriteString(FormatContract(&c.Contracts.Teams[i]))
	}
	return b.String()
}

// line returns the line of a file that sets a key, or a comment with the key's name if
// the key has no value.
func (k *keySpec) line() string {
	value := k.get()
	if value == "" {
		return fmt.Sprintf("# %s\n", k.name)
	}
	return fmt.Sprintf("%s %s\n", k.name, quoteWord(value))
}

// quoteWord quotes a word if it needs quotes in a file.
func quoteWord(word string) string {
	if needsQuotes(word) {
		return strconv.Quote(word)
	}
	return word
}
