package lifecycle

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"reflect"
	"strings"

	"archknot/internal/simwire"
)

// UnknownKey is a key of NODE_CONFIG that the program does not read, with its position.
type UnknownKey struct {
	Key          string // its path, such as limits.cpu
	Line, Column int    // both begin with 1; the column counts bytes
}

// maxReportedUnknownKeys bounds the unknown keys that are reported one by one.
const maxReportedUnknownKeys = 16

// ignoredKey is a key that the gateway deliberately does not read.
type ignoredKey struct{ key, reason string }

// ignoredKeys are keys that the platform's documentation defines and the gateway does not use. A key that
// is neither here nor in the types that are read is reported at start and at each reload.
var ignoredKeys = []ignoredKey{
	{"settings.callers", "clients mark retries with a header"},
	{"settings.countedBy", "the benchmark's weights of requests"},
	{"settings.scoreParts", "the benchmark's weights of a day"},
	{"settings.family", "there is only one kind of deployment"},
	{"settings.feedback.names", "load reports have the names of their fields"},
	{"settings.extra.notes", "description only"},
	{"settings.extra.reportX0", "description only"},
	{"settings.extra.reportX1", "description only"},
	{"settings.extra.resume", "clients mark requests that resume a stream"},
	{"settings.limits.cpuUsPerRequest", "for the simulator only"},
	{"settings.limits.cpuUsPerS", "for the simulator only"},
	{"settings.penalties.connection", "a cost of replica connections that no decision can change"},
	{"settings.penalties.discovery", "a cost of discovery calls, whose rate is bounded"},
	{"settings.penalties.lateFail", "clients receive a failure as soon as it is certain"},
	{"settings.penalties.moves", "sessions migrate only away from a worse replica"},
	{"settings.penalties.origin", "for deployments with an origin"},
	{"settings.penalties.peer", "gateways do not gossip"},
	{"settings.penalties.waste", "attempts are bounded by budgets"},
	{"settings.rules.answerSlackUs", "no slack is used"},
	{"settings.stages", "there is only one stage"},
	{"settings.tenants.fraction", "describes the simulator's traffic"},
	{"settings.tier", "there is only one tier"},
}

// keyTree maps the known keys of an object, in lower case, to the known keys of their values. A nil tree
// means that the keys of the value are not checked.
type keyTree map[string]keyTree

// knownKeys returns the keys of NODE_CONFIG that the program reads or deliberately ignores.
func knownKeys() keyTree {
	root := keyTreeOf(reflect.TypeFor[nodeConfig]())
	settings := keyTreeOf(simwire.SettingsType())
	settings.merge(keyTreeOf(reflect.TypeFor[transportSettings]()))
	root["settings"] = settings
	for _, ignored := range ignoredKeys {
		root.add(strings.Split(strings.ToLower(ignored.key), "."))
	}
	return root
}

// keyTreeOf returns the JSON keys of a type; nil unless it is a struct, or a slice of or pointer to one.
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

// merge adds the keys of another tree.
func (t keyTree) merge(other keyTree) {
	for name, children := range other {
		if t[name] == nil {
			t[name] = children
		} else {
			t[name].merge(children)
		}
	}
}

// add adds one key by its path. It does nothing if a parent of the key is unknown.
func (t keyTree) add(path []string) {
	if len(path) == 1 {
		t[path[0]] = nil
	} else if children := t[path[0]]; children != nil {
		children.add(path[1:])
	}
}

// findUnknownKeys returns the first maxReportedUnknownKeys unknown keys of a configuration, and the number of all.
// The text must be a JSON object.
func findUnknownKeys(text []byte) (reported []UnknownKey, count int) {
	w := keyWalker{text: text, decoder: json.NewDecoder(bytes.NewReader(text))}
	_ = w.walkValue(knownKeys(), "") // cannot fail: the text was parsed before
	return w.reported, w.count
}

// keyWalker reads a JSON text and compares its keys with the known ones.
type keyWalker struct {
	text     []byte
	decoder  *json.Decoder
	reported []UnknownKey
	count    int
}

// walkValue reads the next value: an object with known keys, an array of such objects, or a scalar.
func (w *keyWalker) walkValue(known keyTree, path string) error {
	token, err := w.decoder.Token()
	if err != nil {
		return err
	}
	switch token {
	case json.Delim('['):
		for w.decoder.More() {
			if err := w.walkValue(known, path); err != nil {
				return err
			}
		}
	case json.Delim('{'):
		for w.decoder.More() {
			if err := w.walkMember(known, path); err != nil {
				return err
			}
		}
	default:
		return nil
	}
	_, err = w.decoder.Token() // the closing delimiter
	return err
}

// walkMember reads a key and its value. Values of unknown keys are skipped.
func (w *keyWalker) walkMember(known keyTree, path string) error {
	token, err := w.decoder.Token()
	if err != nil {
		return err
	}
	name, _ := token.(string)
	key := strings.TrimPrefix(path+"."+name, ".")
	children, ok := known[strings.ToLower(name)]
	if !ok {
		w.report(key)
	}
	if children == nil {
		return skipValue(w.decoder)
	}
	return w.walkValue(children, key)
}

// report counts an unknown key that has just been read, and adds it to the reported ones.
func (w *keyWalker) report(key string) {
	w.count++
	if len(w.reported) >= maxReportedUnknownKeys {
		return
	}
	closingQuote := int(w.decoder.InputOffset()) - 1
	openingQuote := bytes.LastIndexByte(w.text[:closingQuote], '"')
	line, column := lineAndColumn(w.text, max(openingQuote, 0))
	w.reported = append(w.reported, UnknownKey{Key: key, Line: line, Column: column})
}

// logUnknownKeys logs the unknown keys, and the invalid entries of the initial endpoint list: operators must
// be able to see which parts of the configuration have no effect.
func (c *Config) logUnknownKeys() {
	for _, unknown := range c.ReportedUnknownKeys {
		slog.Warn("config_unknown_key", "key", unknown.Key, "file", c.path, "line", unknown.Line, "column", unknown.Column)
	}
	known := &c.Gateway.CachedList
	for _, entry := range known.InvalidEntries {
		slog.Warn("endpoint_list_invalid_entry", "list", "known", "index", entry.Index, "replica", entry.ID, "reason", entry.Reason,
			"invalid_entries", known.InvalidEntryCount)
	}
	if c.UnknownKeyCount > len(c.ReportedUnknownKeys) {
		slog.Warn("config_unknown_keys", "total", c.UnknownKeyCount, "reported", len(c.ReportedUnknownKeys))
	}
}
