package config

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Config is archknot's own settings, checked and complete.
type Config struct {
	File           string // "": there is none
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

// Log configures the log on standard error.
type Log struct{ Level string }

// Control configures the gateway's socket for commands of operators on its machine.
type Control struct {
	Socket string // path; "": none
}

// Capture configures the recording of the decision module's events and actions.
type Capture struct {
	Record             bool
	Directory          string
	CheckpointInterval time.Duration // between two states of the module
	BlockSize          int64         // bytes
	FlushInterval      time.Duration // a record waits no longer for its block to fill
	QueueBlocks        int           // blocks that may wait for the disk
	SegmentSize        int64         // bytes
	SegmentAge         time.Duration
	KeepSize           int64 // bytes of all segments
	KeepAge            time.Duration
}

// Incident configures when the last minutes of a capture are saved automatically.
type Incident struct {
	Directory        string
	MaxIncidents     int           // the oldest are deleted beyond
	Window           time.Duration // what is saved before the trigger
	MinInterval      time.Duration // between two that no operator ordered
	EvaluationWindow time.Duration // that the shares below are computed over
	MinRequests      int           // in that window: with fewer there is no trigger
	UnservedShare    float64       // of late, shed and failed requests; 0: no trigger
	SlowFactor       float64       // times the usual time to the first token at a replica; 0: no trigger
	SlowReplicas     float64       // share of them among those with requests in the window
	NearDeadline     time.Duration // before the client's deadline; 0: no trigger
}

// ControlService configures the control service that the configuration is streamed
// from.
type ControlService struct {
	Address      string // host:port; "": there is none
	Protocol     string // "world" or "delta"
	Cert         string // path of the gateway's certificate (PEM)
	Key          string // path of its key
	CA           string // path of the service's certificate authorities (PEM)
	ServerName   string // "": the host of the address
	StorePath    string // "": versions are not stored
	MinInterval  time.Duration
	StallTimeout time.Duration
}

// Metrics configures the Prometheus endpoint.
type Metrics struct {
	Listen   string // host:port; "": none
	MaxTeams int    // teams with metrics of their own
}

// Peers configures the link to the other gateways, which take over each other's
// requests.
type Peers struct {
	Listen               string // host:port; "": there is no link
	Advertise            string // host:port where others reach it; "": Listen
	Zone                 string
	Join                 string        // addresses of some other gateways, with commas between
	Keepers              int           // gateways that record each request
	ReplyTimeout         time.Duration // for another gateway's answer
	RecordTTL            time.Duration // of a request, after its gateway's last message about it
	FreezeThreshold      time.Duration // a gap in the gateway's own time after which it checks its leases
	HandOverDelay        time.Duration // from SIGTERM until requests are handed over
	MaxRecords           int
	MaxRecordsPerGateway int
}

// Subset configures which replicas of a large fleet the gateway uses.
type Subset struct {
	MaxReplicas  int     // 0: all
	RemoteShare  float64 // the part that is drawn from all zones
	GatewayIndex int     // -1: the platform's
}

// Default returns the settings without a file.
func Default() *Config {
	c := &Config{}
	for _, group := range schema(c) {
		setDefaults(group.name, group.keys)
	}
	return c
}

// Load reads the settings in a file and in those it includes; "" is no file. The
// error is of type SettingErrors and has all that is wrong.
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

// contractSection is the section of a team's contract, which has keys of its own.
const contractSection = "contract"

// applyEntry sets the key that an entry names.
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
		r.addProblem(e.file, e.sectionPos, e.section, "this section has no label")
	default:
		r.assign(groups[i].keys, e, fullName, seen)
	}
}

// sectionNames returns all sections of a settings file.
func sectionNames(groups []keyGroup) []string {
	names := []string{contractSection}
	for _, group := range groups {
		names = append(names, group.name)
	}
	return names
}

// suggestSection returns the end of an error message about a key without a section:
// the section that it belongs to, if there is one.
func suggestSection(groups []keyGroup, name string) string {
	for _, group := range groups {
		if slices.Contains(keyNames(group.keys), name) {
			return fmt.Sprintf("; it belongs into [%s]", group.name)
		}
	}
	return ""
}

// Setting is one key with its value.
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

// Text returns the settings as a file that reads back as the same, with their
// documentation as comments if docs.
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

// line returns the line of a file that sets a key; a comment if it has no value.
func (k *keySpec) line() string {
	value := k.get()
	if value == "" {
		return fmt.Sprintf("# %s\n", k.name)
	}
	return fmt.Sprintf("%s %s\n", k.name, quoteWord(value))
}

// quoteWord quotes a word if a file needs it quoted.
func quoteWord(word string) string {
	if needsQuotes(word) {
		return strconv.Quote(word)
	}
	return word
}
