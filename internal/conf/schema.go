package conf

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
	File     string // "" if there is none
	Log      Log
	Control  Control
	Capture  Capture
	Incident Incident
	Service  Service

	Contracts Contracts
	Metrics   Metrics
	Peers     Peers
	Subset    Subset
}

// Subset is the part of a large fleet that the gateway works with.
type Subset struct {
	Most   int
	Remote float64
	Index  int
}

// Log is what is written to standard error.
type Log struct{ Level string }

// Control is the gateway's socket for orders of operators on its machine.
type Control struct{ Socket string }

// Capture is the recording of what the decision module was told.
type Capture struct {
	Record      bool
	Directory   string
	Checkpoint  time.Duration
	Block       int64
	Flush       time.Duration
	Queue       int
	SegmentSize int64
	SegmentAge  time.Duration
	KeepSize    int64
	KeepAge     time.Duration
}

// Service is the control service that the configuration is streamed from.
type Service struct {
	Address string
	Form    string
	Cert    string
	Key     string
	CA      string
	Name    string
	Store   string
	Between time.Duration
	Stall   time.Duration
}

// Peers is the link to the other gateways, which take over each other's work.
type Peers struct {
	Listen    string
	Advertise string
	Site      string
	Join      string
	Copies    int
	Silence   time.Duration
	Remember  time.Duration
	Frozen    time.Duration
	HandOver  time.Duration
	Records   int
	Each      int
}

// Metrics is where the gateway's figures can be read.
type Metrics struct {
	Listen string
	Teams  int
}

// Incident is when the last minutes of a capture are kept by themselves.
type Incident struct {
	Directory    string
	Keep         int
	Window       time.Duration
	Pause        time.Duration
	Over         time.Duration
	Least        int
	Unserved     float64
	SlowFactor   float64
	SlowWorkers  float64
	NearDeadline time.Duration
}

// key is one setting: where it goes, what it may be, what it is if not given.
type key struct {
	name, form, otherwise, doc string
	set                        func(words []string) error
	get                        func() string
}

type group struct {
	name, doc string
	keys      []key
}

// schema is all that may stand in the files, bound to c.
func schema(c *Config) []group {
	return []group{
		{"log", "What is written to standard error.", []key{
			choiceOf("level", &c.Log.Level, "info", "the least level that is logged", "debug", "info", "warn", "error"),
		}},
		{"control", "The socket for orders of operators on this machine, such as `archknot capture save`.", []key{
			path("socket", &c.Control.Socket, "", "a Unix socket, made with mode 0600; none if not given"),
		}},
		{"capture", "A record of all that the decision module is told and orders: see docs/operate/capture.md.", []key{
			onOff("record", &c.Capture.Record, "off", "whether to record"),
			path("directory", &c.Capture.Directory, "", "where segments go; needed to record"),
			duration("checkpoint", &c.Capture.Checkpoint, "15s", time.Second, 10*time.Minute, "how often the module's whole state goes in: a replay can start at each"),
			size("block", &c.Capture.Block, "32KiB", 4<<10, 1<<20, "what is compressed and checked together; damage costs no less"),
			duration("flush", &c.Capture.Flush, "1s", 10*time.Millisecond, time.Minute, "how long a record may wait for its block to fill: a crash costs no more"),
			count("queue", &c.Capture.Queue, "8", 2, 1024, "blocks that may wait for the disk; past that there is a gap"),
			size("segment-size", &c.Capture.SegmentSize, "8MiB", 64<<10, 1<<30, "a file is closed when it is so large"),
			duration("segment-age", &c.Capture.SegmentAge, "1m", time.Second, 24*time.Hour, "or so old"),
			size("keep-size", &c.Capture.KeepSize, "64MiB", 256<<10, 1<<40, "the oldest files are dropped when all are larger"),
			duration("keep-age", &c.Capture.KeepAge, "15m", 10*time.Second, 366*24*time.Hour, "or older"),
		}},
		{"incident", "When the last minutes of the capture are kept by themselves.", []key{
			path("directory", &c.Incident.Directory, "", "where incidents go; by default `incidents` in the capture's directory"),
			count("keep", &c.Incident.Keep, "8", 1, 1000, "incidents kept; the oldest go first"),
			duration("window", &c.Incident.Window, "5m", 5*time.Second, 24*time.Hour, "how much before the trigger is kept"),
			duration("pause", &c.Incident.Pause, "2m", time.Second, 24*time.Hour, "the least time between two that were not ordered"),
			duration("over", &c.Incident.Over, "10s", time.Second, 10*time.Minute, "the span that the shares below are taken over"),
			count("least", &c.Incident.Least, "50", 1, 1_000_000, "requests in that span below which nothing triggers"),
			share("unserved", &c.Incident.Unserved, "40%", "late, refused and failed requests that trigger; 0% never"),
			factor("slow-factor", &c.Incident.SlowFactor, "2", 0, 100, "a worker is slow when first tokens take so many times what they usually do there; 0 never"),
			share("slow-workers", &c.Incident.SlowWorkers, "80%", "slow workers that trigger, among those heard of in the span"),
			duration("near-deadline", &c.Incident.NearDeadline, "500us", 0, time.Second, "a final answer later than this before the client's deadline triggers: a rule was about to break; 0s never"),
		}},
		{"contracts", "What holds for all contracts; each team's stands in a section [contract TEAM]: docs/operate/contracts.md.", []key{
			zone("zone", &c.Contracts.Zone, "UTC", "of days and quarters, such as Australia/Hobart"),
			duration("pool", &c.Contracts.Pool, "1s", 0, time.Minute, "how much of all rates together idle shares may save up for others; so long after its owner is back what was lent may still be drawn"),
			factor("others", &c.Contracts.Other, "0.05", -1, 1000, "the worth of tenants without a contract; -1 refuses them"),
			path("store", &c.Contracts.Store, "", "where balances are kept over restarts and kills; not kept if not given"),
			share("reserve", &c.Contracts.Reserve, "1%", "part of a budget that is written as used before it is: what a kill may cost a team"),
			onOff("strict", &c.Contracts.Strict, "off", "refuse what the store does not yet know as used"),
			choiceOf("split", &c.Contracts.Split, "whole", "how this gateway tells its part of each contract: it is alone, equal parts, as the front spreads all work, or as it sees each team", "whole", "equal", "front", "alone"),
			count("gateways", &c.Contracts.Gateways, "1", 1, 10_000, "how many there are, for equal parts"),
		}},
		{"metrics", "The gateway's figures in the Prometheus form, over HTTP at /metrics.", []key{
			path("listen", &c.Metrics.Listen, "", "host:port; none if not given"),
			count("teams", &c.Metrics.Teams, "200", 1, 10_000, "teams with figures of their own; the others are summed up as one"),
		}},
		{"peers", "The link to the other gateways, which go on with what one of them loses: docs/operate/takeover.md. Off without an address.", []key{
			path("listen", &c.Peers.Listen, "", "host:port for datagrams of other gateways and for their probes; none if not given"),
			path("advertise", &c.Peers.Advertise, "", "host:port where they reach it, if not there"),
			path("site", &c.Peers.Site, "", "where the gateway stands: keepers of its work are sought elsewhere first"),
			path("join", &c.Peers.Join, "", "host:port of some other gateways, with commas between"),
			count("copies", &c.Peers.Copies, "5", 1, 8, "gateways that note each request"),
			duration("silence", &c.Peers.Silence, "150ms", 10*time.Millisecond, 5*time.Second, "how long another gateway's answer is waited for"),
			duration("remember", &c.Peers.Remember, "30s", 2*time.Second, 10*time.Minute, "how long a request is noted after its gateway's last word of it"),
			duration("frozen", &c.Peers.Frozen, "500ms", 100*time.Millisecond, time.Minute, "a gap in the gateway's own time after which it asks whether its work is still its own"),
			duration("hand-over", &c.Peers.HandOver, "2s", 0, time.Minute, "how long after SIGTERM work goes on here before others get it"),
			count("records", &c.Peers.Records, "4096", 16, 100_000, "requests of others that are noted at once"),
			count("records-each", &c.Peers.Each, "1024", 16, 100_000, "and for one gateway"),
		}},
		{"subset", "The part of a large fleet that this gateway works with: docs/operate/subsets.md.", []key{
			count("most", &c.Subset.Most, strconv.Itoa(subset.DefaultMaxReplicas), 0, 100_000, "replicas it works with, 16 or more; lists up to so many pass whole; 0: all do"),
			share("remote", &c.Subset.Remote, "25%", "the part that is drawn from all zones alike: what it goes on with if its own is lost"),
			count("index", &c.Subset.Index, "-1", -1, 10_000_000, "its number among the gateways, or among those of its zone; -1: the platform's"),
		}},
		{"control-service", "The control service that numbered versions of the configuration come from: docs/operate/streamed-configuration.md.", []key{
			path("address", &c.Service.Address, "", "host:port; none if not given, and then nothing is streamed"),
			choiceOf("form", &c.Service.Form, "world", "the stream's form: all resources each time, or changes only", "world", "delta"),
			path("cert", &c.Service.Cert, "", "the gateway's certificate (PEM); needed but for loopback addresses"),
			path("key", &c.Service.Key, "", "and its key"),
			path("ca", &c.Service.CA, "", "who may have issued the service's certificate (PEM)"),
			path("name", &c.Service.Name, "", "that the service's certificate must be for, if not the address's host"),
			path("store", &c.Service.Store, "", "where the last good version and the history are kept; nothing is kept if not given"),
			duration("between", &c.Service.Between, "1s", 0, time.Hour, "the least time from one version taken to the next"),
			duration("stall", &c.Service.Stall, "10s", time.Second, time.Hour, "how long a version may stay incomplete before the stream is dropped"),
		}},
	}
}

func bind[T any](name, form string, to *T, otherwise, doc string, parse func(string) (T, error), show func(T) string) key {
	return key{name: name, form: form, otherwise: otherwise, doc: doc,
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

func within[T cmp.Ordered](v, least, most T, show func(T) string) error {
	if v < least || v > most {
		return fmt.Errorf("expected %s to %s, got %s", show(least), show(most), show(v))
	}
	return nil
}

func path(name string, to *string, otherwise, doc string) key {
	return bind(name, "path", to, otherwise, doc, func(s string) (string, error) { return s, nil }, func(s string) string { return s })
}

func zone(name string, to *string, otherwise, doc string) key {
	return bind(name, "time zone", to, otherwise, doc, func(s string) (string, error) {
		if _, err := time.LoadLocation(s); err != nil || s == "" {
			return "", fmt.Errorf("expected a time zone such as Australia/Hobart, got %q", s)
		}
		return s, nil
	}, func(s string) string { return s })
}

func choiceOf(name string, to *string, otherwise, doc string, words ...string) key {
	return bind(name, strings.Join(words, "|"), to, otherwise, doc, func(s string) (string, error) {
		if !slices.Contains(words, s) {
			return "", fmt.Errorf("expected %s, got %q%s", strings.Join(words, ", "), s, nearest(s, words))
		}
		return s, nil
	}, func(s string) string { return s })
}

func onOff(name string, to *bool, otherwise, doc string) key {
	return bind(name, "on|off", to, otherwise, doc, func(s string) (bool, error) {
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

func duration(name string, to *time.Duration, otherwise string, least, most time.Duration, doc string) key {
	return bind(name, "duration", to, otherwise, doc, func(s string) (time.Duration, error) {
		v, err := time.ParseDuration(s)
		if err != nil {
			return 0, fmt.Errorf("expected a duration such as 30s or 5m, got %q", s)
		}
		return v, within(v, least, most, showDuration)
	}, showDuration)
}

// showDuration drops the zero parts of 1h0m0s.
func showDuration(d time.Duration) string {
	s := strings.Replace(d.String(), "µs", "us", 1)
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}

func size(name string, to *int64, otherwise string, least, most int64, doc string) key {
	show := func(v int64) string { return strings.ReplaceAll(humanize.IBytes(uint64(v)), " ", "") }
	return bind(name, "size", to, otherwise, doc, func(s string) (int64, error) {
		v, err := humanize.ParseBytes(s)
		if err != nil || v > 1<<62 {
			return 0, fmt.Errorf("expected a size such as 64KiB or 8MiB, got %q", s)
		}
		return int64(v), within(int64(v), least, most, show)
	}, show)
}

func count(name string, to *int, otherwise string, least, most int, doc string) key {
	return bind(name, "number", to, otherwise, doc, func(s string) (int, error) {
		v, err := strconv.Atoi(s)
		if err != nil {
			return 0, fmt.Errorf("expected a whole number, got %q", s)
		}
		return v, within(v, least, most, strconv.Itoa)
	}, strconv.Itoa)
}

func number(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }

func factor(name string, to *float64, otherwise string, least, most float64, doc string) key {
	return bind(name, "number", to, otherwise, doc, func(s string) (float64, error) {
		v, err := strconv.ParseFloat(s, 64)
		if err != nil || v != v {
			return 0, fmt.Errorf("expected a number, got %q", s)
		}
		return v, within(v, least, most, number)
	}, number)
}

func share(name string, to *float64, otherwise, doc string) key {
	show := func(v float64) string { return number(v*100) + "%" }
	return bind(name, "share", to, otherwise, doc, func(s string) (float64, error) {
		text, percent := strings.CutSuffix(s, "%")
		v, err := strconv.ParseFloat(text, 64)
		if err != nil || v != v {
			return 0, fmt.Errorf("expected a share such as 40%% or 0.4, got %q", s)
		}
		if percent {
			v /= 100
		}
		return v, within(v, 0, 1, show)
	}, show)
}

// posNone is the place of what stands in no line.
var posNone lexer.Position

// Default is what holds without a file.
func Default() *Config {
	c := &Config{}
	c.defaults()
	return c
}

func (c *Config) defaults() {
	for _, g := range schema(c) {
		for _, k := range g.keys {
			if k.otherwise != "" || k.form != "path" {
				if err := k.set([]string{k.otherwise}); err != nil {
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
	r.file(file, "", posNone)
	groups := schema(c)
	var sections []string
	byName := map[string]group{}
	sections = append(sections, "contract")
	for _, g := range groups {
		sections = append(sections, g.name)
		byName[g.name] = g
	}
	seen := map[string]entry{}
	for _, e := range r.entries {
		g, ok := byName[e.section]
		full := e.section + "." + e.set.Key
		switch {
		case e.section == "contract":
			c.Contracts.entry(&r, e, seen)
			continue
		case e.section == "":
			r.problem(e.file, e.set.Pos, e.set.Key, "outside a section%s", whereKnown(groups, e.set.Key))
			continue
		case !ok:
			r.problem(e.file, e.set.Pos, full, "no section [%s]%s", e.section, nearest(e.section, sections))
			continue
		case e.label != "":
			r.problem(e.file, e.sectionPos, e.section, "this section has no label")
			continue
		}
		r.assign(g.keys, e, full, seen)
	}
	if len(r.problems) == 0 {
		c.together(&r, file, seen)
	}
	if len(r.problems) > 0 {
		return nil, r.problems
	}
	return c, nil
}

// assign enters one line under its key, or tells why it cannot be; full is the key's
// whole name.
func (r *reader) assign(keys []key, e entry, full string, seen map[string]entry) {
	i := slices.IndexFunc(keys, func(k key) bool { return k.name == e.set.Key })
	if i < 0 {
		var names []string
		for _, k := range keys {
			names = append(names, k.name)
		}
		r.problem(e.file, e.set.Pos, full, "unknown key%s", nearest(e.set.Key, names))
		return
	}
	if was, twice := seen[full]; twice {
		r.problem(e.file, e.set.Pos, full, "given already at %s:%d", was.file, was.set.Pos.Line)
		return
	}
	seen[full] = e
	if err := keys[i].set(e.set.words()); err != nil {
		r.problem(e.file, e.set.valuePos(), full, "%v", err)
	}
}

// leastSubset is the least bound on a subset: in fewer replicas one that fails is too large a part.
const leastSubset = 16

// together checks what no key can tell by itself.
func (c *Config) together(r *reader, file string, seen map[string]entry) {
	at := func(key, format string, args ...any) {
		if e, ok := seen[key]; ok {
			r.problem(e.file, e.set.Pos, key, format, args...)
			return
		}
		r.problem(file, posNone, key, format, args...)
	}
	p := &c.Capture
	switch {
	case p.Record && p.Directory == "":
		at("capture.directory", "missing, and needed to record")
	case p.SegmentSize > p.KeepSize/2:
		at("capture.segment-size", "expected at most half of keep-size (%s)", humanize.IBytes(uint64(p.KeepSize)))
	case p.SegmentAge > p.KeepAge/2:
		at("capture.segment-age", "expected at most half of keep-age (%s)", showDuration(p.KeepAge))
	case p.Checkpoint > p.KeepAge/2:
		at("capture.checkpoint", "expected at most half of keep-age (%s): a kept file without one cannot be replayed", showDuration(p.KeepAge))
	case c.Incident.Window > p.KeepAge:
		at("incident.window", "expected at most capture.keep-age (%s): older files are gone", showDuration(p.KeepAge))
	}
	if l := c.Metrics.Listen; l != "" {
		if _, port, err := net.SplitHostPort(l); err != nil || port == "" {
			at("metrics.listen", "expected host:port, got %q", l)
		}
	}
	if most := c.Subset.Most; most != 0 && most < leastSubset {
		at("subset.most", "expected 0, or %d or more, got %d", leastSubset, most)
	}
	if err := contract.Check(c.Contracts.Teams); err != nil {
		r.problem(file, posNone, "", "%v", err)
	}
	v := &c.Service
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

// nearest suggests the known word that was likely meant.
func nearest(word string, known []string) string {
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

func whereKnown(groups []group, name string) string {
	for _, g := range groups {
		if slices.ContainsFunc(g.keys, func(k key) bool { return k.name == name }) {
			return fmt.Sprintf("; it belongs into [%s]", g.name)
		}
	}
	return ""
}

// Setting is one key as it stands.
type Setting struct {
	Section   string `json:"section"`
	Key       string `json:"key"`
	Value     string `json:"value"`
	Form      string `json:"form"`
	Otherwise string `json:"default"`
	Doc       string `json:"doc"`
}

// Settings lists all keys with their values, in the schema's order.
func (c *Config) Settings() []Setting {
	var out []Setting
	for _, g := range schema(c) {
		for _, k := range g.keys {
			out = append(out, Setting{g.name, k.name, k.get(), k.form, k.otherwise, k.doc})
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
				fmt.Fprintf(&b, "# %s: %s (%s)\n", k.name, k.doc, k.form)
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
		b.WriteString(ContractText(&c.Contracts.Teams[i]))
	}
	return b.String()
}
