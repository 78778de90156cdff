package lifecycle

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"reflect"
	"strings"

	"archknot/internal/simwire"
)

// UnknownKey is a key of NODE_CONFIG that the program does not serve, and where it stands.
type UnknownKey struct {
	Key          string // by its path, such as limits.cpu
	Line, Column int
}

// maxReportedUnknownKeys bounds the keys that are told one by one.
const maxReportedUnknownKeys = 16

// ignoredKeys are keys that the platform's pages define and the gateway has no use for, each with why.
// A key that is neither here nor in the types that are read is told at start.
var ignoredKeys = []struct{ key, why string }{
	{"settings.callers", "whether clients mark retries: the header tells it"},
	{"settings.countedBy", "how the bench weighs requests"},
	{"settings.scoreParts", "how the bench weighs a day"},
	{"settings.family", "of the deployment: there is one"},
	{"settings.feedback.names", "reports name their fields"},
	{"settings.extra.notes", "prose"},
	{"settings.extra.reportX0", "prose"},
	{"settings.extra.reportX1", "prose"},
	{"settings.extra.resume", "a client that asks for the rest marks its request"},
	{"settings.limits.cpuUsPerRequest", "the simulator's figure"},
	{"settings.limits.cpuUsPerS", "the simulator's figure"},
	{"settings.penalties.connection", "a price that connections to replicas have no choice about"},
	{"settings.penalties.discovery", "paid for by the pace of calls, which is bounded"},
	{"settings.penalties.lateFail", "failures are answered as soon as they are certain"},
	{"settings.penalties.moves", "sessions move only where their home is worse"},
	{"settings.penalties.origin", "of deployments with an origin"},
	{"settings.penalties.peer", "gateways do not talk"},
	{"settings.penalties.waste", "attempts are bounded by budgets"},
	{"settings.rules.answerSlackUs", "no slack is used"},
	{"settings.rules.stopSendingWithinUs", "nothing is sent from the moment on that a drain is known"},
	{"settings.stages", "there is one"},
	{"settings.tenants.fraction", "the traffic's, for the simulator"},
	{"settings.tier", "there is one"},
}

// keyTree has the known keys of an object, in lower case; a nil one says that nothing below is checked.
type keyTree map[string]keyTree

// knownKeys is what the program reads of NODE_CONFIG, or leaves unread on purpose.
func knownKeys() keyTree {
	root := keyTreeOf(reflect.TypeFor[nodeConfig]())
	settings := keyTreeOf(simwire.SettingsType())
	settings.merge(keyTreeOf(reflect.TypeFor[transportSettings]()))
	root["settings"] = settings
	for _, u := range ignoredKeys {
		root.add(strings.Split(strings.ToLower(u.key), "."))
	}
	return root
}

// keyTreeOf is the tree of a type's JSON keys; nil for one that is no structure.
func keyTreeOf(t reflect.Type) keyTree {
	for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.Struct {
		t = t.Elem()
	}
	if t.Kind() != reflect.Struct {
		return nil
	}
	tree := keyTree{}
	for field := range t.Fields() {
		if name, _, _ := strings.Cut(field.Tag.Get("json"), ","); name != "" {
			tree[strings.ToLower(name)] = keyTreeOf(field.Type)
		}
	}
	return tree
}

func (t keyTree) merge(other keyTree) {
	for name, below := range other {
		if t[name] == nil {
			t[name] = below
		} else {
			t[name].merge(below)
		}
	}
}

func (t keyTree) add(path []string) {
	if len(path) == 1 {
		t[path[0]] = nil
	} else if below := t[path[0]]; below != nil {
		below.add(path[1:])
	}
}

// findUnknownKeys lists the keys of a configuration that are not known, the first of them, and counts
// them all. The text is known to be an object.
func findUnknownKeys(text []byte) (first []UnknownKey, all int) {
	w := keyWalker{text: text, dec: json.NewDecoder(bytes.NewReader(text))}
	_ = w.walkValue(knownKeys(), "") // the text was read before
	return w.reported, w.count
}

// keyWalker goes through a JSON text and compares its keys with the known ones.
type keyWalker struct {
	text     []byte
	dec      *json.Decoder
	reported []UnknownKey
	count    int
}

// walkValue reads the value that comes next, an object of known keys or an array of such.
func (w *keyWalker) walkValue(known keyTree, path string) error {
	token, err := w.dec.Token()
	if err != nil {
		return err
	}
	switch token {
	case json.Delim('['):
		for w.dec.More() {
			if err := w.walkValue(known, path); err != nil {
				return err
			}
		}
	case json.Delim('{'):
		for w.dec.More() {
			if err := w.walkMember(known, path); err != nil {
				return err
			}
		}
	default:
		return nil
	}
	_, err = w.dec.Token() // the end of it
	return err
}

// walkMember reads a key and its value.
func (w *keyWalker) walkMember(known keyTree, path string) error {
	token, err := w.dec.Token()
	if err != nil {
		return err
	}
	name, _ := token.(string)
	key := strings.TrimPrefix(path+"."+name, ".")
	below, ok := known[strings.ToLower(name)]
	if !ok {
		w.report(key)
	}
	if below == nil {
		return skipValue(w.dec)
	}
	return w.walkValue(below, key)
}

// report notes a key that has just been read.
func (w *keyWalker) report(key string) {
	w.count++
	if len(w.reported) >= maxReportedUnknownKeys {
		return
	}
	end := int(w.dec.InputOffset())
	begin := bytes.LastIndexByte(w.text[:end-1], '"')
	before := w.text[:max(begin, 0)]
	w.reported = append(w.reported, UnknownKey{Key: key, Line: bytes.Count(before, []byte{'\n'}) + 1,
		Column: len(before) - (bytes.LastIndexByte(before, '\n') + 1) + 1})
}

// logUnknownKeys logs the keys that the program does not serve: a term that nothing carries must not
// be passed over in silence.
func (c *Config) logUnknownKeys() {
	for _, u := range c.ReportedUnknownKeys {
		slog.Warn("config_unknown_key", "key", u.Key, "file", c.path, "line", u.Line, "column", u.Column)
	}
	for _, odd := range c.Gateway.CachedList.InvalidEntries {
		slog.Warn("endpoint_list_invalid_entry", "list", "known", "index", odd.Index, "replica", odd.ID, "reason", odd.Reason, "invalid_entries", c.Gateway.CachedList.InvalidEntryCount)
	}
	if c.UnknownKeyCount > len(c.ReportedUnknownKeys) {
		slog.Warn("config_unknown_keys", "total", c.UnknownKeyCount, "reported", len(c.ReportedUnknownKeys))
	}
}
