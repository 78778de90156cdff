package config

import (
	"cmp"
	"fmt"
	"net"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/agnivade/levenshtein"
	"github.com/alecthomas/participle/v2/lexer"
	"github.com/dustin/go-humanize"

	"archknot/internal/contract"
	"archknot/internal/subset"
)

// Config is archknot's own settings, checked and complete.
type Config struct {
	File           string // "" if there is none
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

// Subset is the part of a large fleet that the gateway works with.
type Subset struct {
	MaxReplicas  int
	RemoteShare  float64
	GatewayIndex int
}

// Log is what is written to standard error.
type Log struct{ Level string }

// Control is the gateway's socket for orders of operators on its machine.
type Control struct{ Socket string }

// Capture is the recording of what the decision module was told.
type Capture struct {
	Record             bool
	Directory          string
	CheckpointInterval time.Duration
	BlockSize          int64
	FlushInterval      time.Duration
	QueueBlocks        int
	SegmentSize        int64
	SegmentAge         time.Duration
	KeepSize           int64
	KeepAge            time.Duration
}

// ControlService is the control service that the configuration is streamed from.
type ControlService struct {
	Address      string
	Protocol     string
	Cert         string
	Key          string
	CA           string
	ServerName   string
	StorePath    string
	MinInterval  time.Duration
	StallTimeout time.Duration
}

// Peers is the link to the other gateways, which take over each other's work.
type Peers struct {
	Listen               string
	Advertise            string
	Zone                 string
	Join                 string
	Keepers              int
	ReplyTimeout         time.Duration
	RecordTTL            time.Duration
	FreezeThreshold      time.Duration
	HandOverDelay        time.Duration
	MaxRecords           int
	MaxRecordsPerGateway int
}

// Metrics is where the gateway's figures can be read.
type Metrics struct {
	Listen   string
	MaxTeams int
}

// Incident is when the last minutes of a capture are kept by themselves.
type Incident struct {
	Directory        string
	MaxIncidents     int
	Window           time.Duration
	MinInterval      time.Duration
	EvaluationWindow time.Duration
	MinRequests      int
	UnservedShare    float64
	SlowFactor       float64
	SlowReplicas     float64
	NearDeadline     time.Duration
}

// keySpec is one setting: where it goes, what it may be, what it is if not given.
type keySpec struct {
	name, valueType, defaultText, doc string
	set                               func(words []string) error
	get                               func() string
}

type keyGroup struct {
	name, doc string
	keys      []keySpec
}

// schema is all that may stand in the files, bound to c.
func schema(c *Config) []keyGroup {
	return []keyGroup{
		{"log", "What is written to standard error.", []keySpec{
			enumKey("level", &c.Log.Level, "info", "the least level that is logged", "debug", "info", "warn", "error"),
		}},
		{"control", "The socket for orders of operators on this machine, such as `archknot capture save`.", []keySpec{
			pathKey("socket", &c.Control.Socket, "", "a Unix socket, made with mode 0600; none if not given"),
		}},
		{"capture", "A record of all that the decision module is told and orders: see docs/operate/capture.md.", []keySpec{
			boolKey("record", &c.Capture.Record, "off", "whether to record"),
			pathKey("directory", &c.Capture.Directory, "", "where segments go; needed to record"),
			durationKey("checkpoint", &c.Capture.CheckpointInterval, "15s", time.Second, 10*time.Minute, "how often the module's whole state goes in: a replay can start at each"),
			sizeKey("block", &c.Capture.BlockSize, "32KiB", 4<<10, 1<<20, "what is compressed and checked together; damage costs no less"),
			durationKey("flush", &c.Capture.FlushInterval, "1s", 10*time.Millisecond, time.Minute, "how long a record may wait for its block to fill: a crash costs no more"),
			intKey("queue", &c.Capture.QueueBlocks, "8", 2, 1024, "blocks that may wait for the disk; past that there is a gap"),
			sizeKey("segment-size", &c.Capture.SegmentSize, "8MiB", 64<<10, 1<<30, "a file is closed when it is so large"),
			durationKey("segment-age", &c.Capture.SegmentAge, "1m", time.Second, 24*time.Hour, "or so old"),
			sizeKey("keep-size", &c.Capture.KeepSize, "64MiB", 256<<10, 1<<40, "the oldest files are dropped when all are larger"),
			durationKey("keep-age", &c.Capture.KeepAge, "15m", 10*time.Second, 366*24*time.Hour, "or older"),
		}},
		{"incident", "When the last minutes of the capture are kept by themselves.", []keySpec{
			pathKey("directory", &c.Incident.Directory, "", "where incidents go; by default `incidents` in the capture's directory"),
			intKey("keep", &c.Incident.MaxIncidents, "8", 1, 1000, "incidents kept; the oldest go first"),
			durationKey("window", &c.Incident.Window, "5m", 5*time.Second, 24*time.Hour, "how much before the trigger is kept"),
			durationKey("pause", &c.Incident.MinInterval, "2m", time.Second, 24*time.Hour, "the least time between two that were not ordered"),
			durationKey("over", &c.Incident.EvaluationWindow, "10s", time.Second, 10*time.Minute, "the span that the shares below are taken over"),
			intKey("least", &c.Incident.MinRequests, "50", 1, 1_000_000, "requests in that span below which nothing triggers"),
			shareKey("unserved", &c.Incident.UnservedShare, "40%", "late, refused and failed requests that trigger; 0% never"),
			floatKey("slow-factor", &c.Incident.SlowFactor, "2", 0, 100, "a worker is slow when first tokens take so many times what they usually do there; 0 never"),
			shareKey("slow-workers", &c.Incident.SlowReplicas, "80%", "slow workers that trigger, among those heard of in the span"),
			durationKey("near-deadline", &c.Incident.NearDeadline, "500us", 0, time.Second, "a final answer later than this before the client's deadline triggers: a rule was about to break; 0s never"),
		}},
		{"contracts", "What holds for all contracts; each team's stands in a section [contract TEAM]: docs/operate/contracts.md.", []keySpec{
			timeZoneKey("zone", &c.Contracts.TimeZone, "UTC", "of days and quarters, such as Australia/Hobart"),
			durationKey("pool", &c.Contracts.BorrowPool, "1s", 0, time.Minute, "how much of all rates together idle shares may save up for others; so long after its owner is back what was lent may still be drawn"),
			floatKey("others", &c.Contracts.UnknownTenantWeight, "0.05", -1, 1000, "the worth of tenants without a contract; -1 refuses them"),
			pathKey("store", &c.Contracts.StorePath, "", "where balances are kept over restarts and kills; not kept if not given"),
			shareKey("reserve", &c.Contracts.ReserveFraction, "1%", "part of a budget that is written as used before it is: what a kill may cost a team"),
			boolKey("strict", &c.Contracts.Strict, "off", "refuse what the store does not yet know as used"),
			enumKey("split", &c.Contracts.Split, "whole", "how this gateway tells its part of each contract: it is alone, equal parts, as the front spreads all work, or as it sees each team", "whole", "equal", "front", "alone"),
			intKey("gateways", &c.Contracts.Gateways, "1", 1, 10_000, "how many there are, for equal parts"),
		}},
		{"metrics", "The gateway's figures in the Prometheus form, over HTTP at /metrics.", []keySpec{
			pathKey("listen", &c.Metrics.Listen, "", "host:port; none if not given"),
			intKey("teams", &c.Metrics.MaxTeams, "200", 1, 10_000, "teams with figures of their own; the others are summed up as one"),
		}},
		{"peers", "The link to the other gateways, which go on with what one of them loses: docs/operate/takeover.md. Off without an address.", []keySpec{
			pathKey("listen", &c.Peers.Listen, "", "host:port for datagrams of other gateways and for their probes; none if not given"),
			pathKey("advertise", &c.Peers.Advertise, "", "host:port where they reach it, if not there"),
			pathKey("site", &c.Peers.Zone, "", "where the gateway stands: keepers of its work are sought elsewhere first"),
			pathKey("join", &c.Peers.Join, "", "host:port of some other gateways, with commas between"),
			intKey("copies", &c.Peers.Keepers, "5", 1, 8, "gateways that note each request"),
			durationKey("silence", &c.Peers.ReplyTimeout, "150ms", 10*time.Millisecond, 5*time.Second, "how long another gateway's answer is waited for"),
			durationKey("remember", &c.Peers.RecordTTL, "30s", 2*time.Second, 10*time.Minute, "how long a request is noted after its gateway's last word of it"),
			durationKey("frozen", &c.Peers.FreezeThreshold, "500ms", 100*time.Millisecond, time.Minute, "a gap in the gateway's own time after which it asks whether its work is still its own"),
			durationKey("hand-over", &c.Peers.HandOverDelay, "2s", 0, time.Minute, "how long after SIGTERM work goes on here before others get it"),
			intKey("records", &c.Peers.MaxRecords, "4096", 16, 100_000, "requests of others that are noted at once"),
			intKey("records-each", &c.Peers.MaxRecordsPerGateway, "1024", 16, 100_000, "and for one gateway"),
		}},
		{"subset", "The part of a large fleet that this gateway works with: docs/operate/subsets.md.", []keySpec{
			intKey("most", &c.Subset.MaxReplicas, strconv.Itoa(subset.DefaultMaxReplicas), 0, 100_000, "replicas it works with, 16 or more; lists up to so many pass whole; 0: all do"),
			shareKey("remote", &c.Subset.RemoteShare, "25%", "the part that is drawn from all zones alike: what it goes on with if its own is lost"),
			intKey("index", &c.Subset.GatewayIndex, "-1", -1, 10_000_000, "its number among the gateways, or among those of its zone; -1: the platform's"),
		}},
		{"control-service", "The control service that numbered versions of the configuration come from: docs/operate/streamed-configuration.md.", []keySpec{
			pathKey("address", &c.ControlService.Address, "", "host:port; none if not given, and then nothing is streamed"),
			enumKey("form", &c.ControlService.Protocol, "world", "the stream's form: all resources each time, or changes only", "world", "delta"),
			pathKey("cert", &c.ControlService.Cert, "", "the gateway's certificate (PEM); needed but for loopback addresses"),
			pathKey("key", &c.ControlService.Key, "", "and its key"),
			pathKey("ca", &c.ControlService.CA, "", "who may have issued the service's certificate (PEM)"),
			pathKey("name", &c.ControlService.ServerName, "", "that the service's certificate must be for, if not the address's host"),
			pathKey("store", &c.ControlService.StorePath, "", "where the last good version and the history are kept; nothing is kept if not given"),
			durationKey("between", &c.ControlService.MinInterval, "1s", 0, time.Hour, "the least time from one version taken to the next"),
			durationKey("stall", &c.ControlService.StallTimeout, "10s", time.Second, time.Hour, "how long a version may stay incomplete before the stream is dropped"),
		}},
	}
}

func newKey[T any](name, form string, to *T, otherwise, doc string, parse func(string) (T, error), show func(T) string) keySpec {
	return keySpec{name: name, valueType: form, defaultText: otherwise, doc: doc,
		set: func(words []string) error {
			if len(words) != 1 {
				return fmt.Errorf("expected one value (%s), got %d", form, len(words))
			}
			v, err := parse(words[0])
			if err == nil {
				*to = v
			}
			return err
		}, get: func() string { return show(*to) }}
}

func checkRange[T cmp.Ordered](v, least, most T, show func(T) string) error {
	if v < least || v > most {
		return fmt.Errorf("expected %s to %s, got %s", show(least), show(most), show(v))
	}
	return nil
}

func pathKey(name string, to *string, otherwise, doc string) keySpec {
	return newKey(name, "path", to, otherwise, doc, func(s string) (string, error) { return s, nil }, func(s string) string { return s })
}

func timeZoneKey(name string, to *string, otherwise, doc string) keySpec {
	return newKey(name, "time zone", to, otherwise, doc, func(s string) (string, error) {
		if _, err := time.LoadLocation(s); err != nil || s == "" {
			return "", fmt.Errorf("expected a time zone such as Australia/Hobart, got %q", s)
		}
		return s, nil
	}, func(s string) string { return s })
}

func enumKey(name string, to *string, otherwise, doc string, words ...string) keySpec {
	return newKey(name, strings.Join(words, "|"), to, otherwise, doc, func(s string) (string, error) {
		if !slices.Contains(words, s) {
			return "", fmt.Errorf("expected %s, got %q%s", strings.Join(words, ", "), s, suggestWord(s, words))
		}
		return s, nil
	}, func(s string) string { return s })
}

func boolKey(name string, to *bool, otherwise, doc string) keySpec {
	return newKey(name, "on|off", to, otherwise, doc, func(s string) (bool, error) {
		switch s {
		case "on", "yes", "true":
			return true, nil
		case "off", "no", "false":
			return false, nil
		}
		return false, fmt.Errorf("expected on or off, got %q", s)
	}, func(v bool) string {
		if v {
			return "on"
		}
		return "off"
	})
}

func durationKey(name string, to *time.Duration, otherwise string, least, most time.Duration, doc string) keySpec {
	return newKey(name, "duration", to, otherwise, doc, func(s string) (time.Duration, error) {
		v, err := time.ParseDuration(s)
		if err != nil {
			return 0, fmt.Errorf("expected a duration such as 30s or 5m, got %q", s)
		}
		return v, checkRange(v, least, most, formatDuration)
	}, formatDuration)
}

// formatDuration drops the zero parts of 1h0m0s.
func formatDuration(d time.Duration) string {
	s := strings.Replace(d.String(), "µs", "us", 1)
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}

func sizeKey(name string, to *int64, otherwise string, least, most int64, doc string) keySpec {
	show := func(v int64) string { return strings.ReplaceAll(humanize.IBytes(uint64(v)), " ", "") }
	return newKey(name, "size", to, otherwise, doc, func(s string) (int64, error) {
		v, err := humanize.ParseBytes(s)
		if err != nil || v > 1<<62 {
			return 0, fmt.Errorf("expected a size such as 64KiB or 8MiB, got %q", s)
		}
		return int64(v), checkRange(int64(v), least, most, show)
	}, show)
}

func intKey(name string, to *int, otherwise string, least, most int, doc string) keySpec {
	return newKey(name, "number", to, otherwise, doc, func(s string) (int, error) {
		v, err := strconv.Atoi(s)
		if err != nil {
			return 0, fmt.Errorf("expected a whole number, got %q", s)
		}
		return v, checkRange(v, least, most, strconv.Itoa)
	}, strconv.Itoa)
}

func formatFloat(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }

func floatKey(name string, to *float64, otherwise string, least, most float64, doc string) keySpec {
	return newKey(name, "number", to, otherwise, doc, func(s string) (float64, error) {
		v, err := strconv.ParseFloat(s, 64)
		if err != nil || v != v {
			return 0, fmt.Errorf("expected a number, got %q", s)
		}
		return v, checkRange(v, least, most, formatFloat)
	}, formatFloat)
}

func shareKey(name string, to *float64, otherwise, doc string) keySpec {
	show := func(v float64) string { return formatFloat(v*100) + "%" }
	return newKey(name, "share", to, otherwise, doc, func(s string) (float64, error) {
		text, percent := strings.CutSuffix(s, "%")
		v, err := strconv.ParseFloat(text, 64)
		if err != nil || v != v {
			return 0, fmt.Errorf("expected a share such as 40%% or 0.4, got %q", s)
		}
		if percent {
			v /= 100
		}
		return v, checkRange(v, 0, 1, show)
	}, show)
}

// noPosition is the place of what stands in no line.
var noPosition lexer.Position

// Default is what holds without a file.
func Default() *Config {
	c := &Config{}
	c.applyDefaults()
	return c
}

func (c *Config) applyDefaults() {
	for _, g := range schema(c) {
		for _, k := range g.keys {
			if k.defaultText != "" || k.valueType != "path" {
				if err := k.set([]string{k.defaultText}); err != nil {
					panic(g.name + "." + k.name + ": its default: " + err.Error())
				}
			}
		}
	}
}

// Load reads the settings in a file and in what it includes; "" is no file. The
// error is of type Problems and names all that is wrong.
func Load(file string) (*Config, error) {
	c := Default()
	if file == "" {
		return c, nil
	}
	c.File = file
	var r reader
	r.readFile(file, "", noPosition)
	groups := schema(c)
	var sections []string
	byName := map[string]keyGroup{}
	sections = append(sections, "contract")
	for _, g := range groups {
		sections = append(sections, g.name)
		byName[g.name] = g
	}
	seen := map[string]entry{}
	for _, e := range r.entries {
		g, ok := byName[e.section]
		full := e.section + "." + e.setting.Key
		switch {
		case e.section == "contract":
			c.Contracts.applyEntry(&r, e, seen)
			continue
		case e.section == "":
			r.addProblem(e.file, e.setting.Pos, e.setting.Key, "outside a section%s", suggestSection(groups, e.setting.Key))
			continue
		case !ok:
			r.addProblem(e.file, e.setting.Pos, full, "no section [%s]%s", e.section, suggestWord(e.section, sections))
			continue
		case e.label != "":
			r.addProblem(e.file, e.sectionPos, e.section, "this section has no label")
			continue
		}
		r.assign(g.keys, e, full, seen)
	}
	if len(r.problems) == 0 {
		c.validate(&r, file, seen)
	}
	if len(r.problems) > 0 {
		return nil, r.problems
	}
	return c, nil
}

// assign enters one line under its key, or tells why it cannot be; full is the key's
// whole name.
func (r *reader) assign(keys []keySpec, e entry, full string, seen map[string]entry) {
	i := slices.IndexFunc(keys, func(k keySpec) bool { return k.name == e.setting.Key })
	if i < 0 {
		var names []string
		for _, k := range keys {
			names = append(names, k.name)
		}
		r.addProblem(e.file, e.setting.Pos, full, "unknown key%s", suggestWord(e.setting.Key, names))
		return
	}
	if was, twice := seen[full]; twice {
		r.addProblem(e.file, e.setting.Pos, full, "given already at %s:%d", was.file, was.setting.Pos.Line)
		return
	}
	seen[full] = e
	if err := keys[i].set(e.setting.words()); err != nil {
		r.addProblem(e.file, e.setting.valuePos(), full, "%v", err)
	}
}

// minSubsetReplicas is the least bound on a subset: in fewer replicas one that fails is too large a part.
const minSubsetReplicas = 16

// validate checks what no key can tell by itself.
func (c *Config) validate(r *reader, file string, seen map[string]entry) {
	at := func(key, format string, args ...any) {
		if e, ok := seen[key]; ok {
			r.addProblem(e.file, e.setting.Pos, key, format, args...)
			return
		}
		r.addProblem(file, noPosition, key, format, args...)
	}
	p := &c.Capture
	switch {
	case p.Record && p.Directory == "":
		at("capture.directory", "missing, and needed to record")
	case p.SegmentSize > p.KeepSize/2:
		at("capture.segment-size", "expected at most half of keep-size (%s)", humanize.IBytes(uint64(p.KeepSize)))
	case p.SegmentAge > p.KeepAge/2:
		at("capture.segment-age", "expected at most half of keep-age (%s)", formatDuration(p.KeepAge))
	case p.CheckpointInterval > p.KeepAge/2:
		at("capture.checkpoint", "expected at most half of keep-age (%s): a kept file without one cannot be replayed", formatDuration(p.KeepAge))
	case c.Incident.Window > p.KeepAge:
		at("incident.window", "expected at most capture.keep-age (%s): older files are gone", formatDuration(p.KeepAge))
	}
	if l := c.Metrics.Listen; l != "" {
		if _, port, err := net.SplitHostPort(l); err != nil || port == "" {
			at("metrics.listen", "expected host:port, got %q", l)
		}
	}
	if most := c.Subset.MaxReplicas; most != 0 && most < minSubsetReplicas {
		at("subset.most", "expected 0, or %d or more, got %d", minSubsetReplicas, most)
	}
	if err := contract.ValidateTerms(c.Contracts.Teams); err != nil {
		r.addProblem(file, noPosition, "", "%v", err)
	}
	v := &c.ControlService
	if host, port, err := net.SplitHostPort(v.Address); v.Address != "" {
		ip := net.ParseIP(host)
		switch {
		case err != nil || port == "":
			at("control-service.address", "expected host:port, got %q", v.Address)
		case (v.Cert == "") != (v.Key == "") || (v.Cert == "") != (v.CA == ""):
			at("control-service.cert", "cert, key and ca go together")
		case v.Cert == "" && (ip == nil || !ip.IsLoopback()):
			at("control-service.cert", "needed: without certificates only a loopback address will do")
		}
	}
	c.Incident.Directory = cmp.Or(c.Incident.Directory, filepath.Join(p.Directory, "incidents"))
}

// suggestWord suggests the known word that was likely meant.
func suggestWord(word string, known []string) string {
	best, least := "", len(word)/2+1
	for _, k := range known {
		if d := levenshtein.ComputeDistance(word, k); d < least {
			best, least = k, d
		}
	}
	if best == "" {
		return "; known: " + strings.Join(known, ", ")
	}
	return fmt.Sprintf("; did you mean %s?", best)
}

func suggestSection(groups []keyGroup, name string) string {
	for _, g := range groups {
		if slices.ContainsFunc(g.keys, func(k keySpec) bool { return k.name == name }) {
			return fmt.Sprintf("; it belongs into [%s]", g.name)
		}
	}
	return ""
}

// Setting is one key as it stands.
type Setting struct {
	Section string `json:"section"`
	Key     string `json:"key"`
	Value   string `json:"value"`
	Type    string `json:"form"`
	Default string `json:"default"`
	Doc     string `json:"doc"`
}

// Settings lists all keys with their values, in the schema's order.
func (c *Config) Settings() []Setting {
	var out []Setting
	for _, g := range schema(c) {
		for _, k := range g.keys {
			out = append(out, Setting{g.name, k.name, k.get(), k.valueType, k.defaultText, k.doc})
		}
	}
	return out
}

// Text is the settings in the form of a file.
func (c *Config) Text(docs bool) string {
	var b strings.Builder
	for i, g := range schema(c) {
		if i > 0 {
			b.WriteByte('\n')
		}
		if docs {
			fmt.Fprintf(&b, "# %s\n", g.doc)
		}
		fmt.Fprintf(&b, "[%s]\n", g.name)
		for _, k := range g.keys {
			if docs {
				fmt.Fprintf(&b, "# %s: %s (%s)\n", k.name, k.doc, k.valueType)
			}
			v := k.get()
			if v == "" {
				fmt.Fprintf(&b, "# %s\n", k.name)
				continue
			}
			if strings.ContainsAny(v, " \t#\"[]") {
				v = strconv.Quote(v)
			}
			fmt.Fprintf(&b, "%s %s\n", k.name, v)
		}
	}
	for i := range c.Contracts.Teams {
		b.WriteString(FormatContract(&c.Contracts.Teams[i]))
	}
	return b.String()
}
