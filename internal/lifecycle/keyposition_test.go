package lifecycle

import (
	"fmt"
	"strings"
	"testing"
)

// An invalid setting stops the start. The error has the file, the line and the column of its value, and the
// key.
func TestInvalidSettingsReportPosition(t *testing.T) {
	two := strings.Replace(validConfig, `"zone":"a","limits"`, `"zone":"a","zones":["a","b"],"limits"`, 1)
	if _, err := loadText(t, two, nil); err != nil {
		t.Fatalf("two zones: %v", err)
	}
	pretty := strings.ReplaceAll(two, `"requestClasses":[`, "\n  \"requestClasses\":[\n   ")
	for _, c := range []struct{ from, to, key string }{
		{`"zone":"a","zones"`, `"zone":"c","zones"`, "settings.zone"},
		{`"connectTimeoutUs":50000`, `"connectTimeoutUs":50000},"penalties":{"crossZone":-0.03`, "settings.penalties.crossZone"},
		{`"targetUs":1000000`, `"targetUs":9000000`, "settings.requestClasses[0].targetUs"},
		{`"streamed":true}]`, `"streamed":true},{"name":"chat","targetUs":1,"deadlineUs":2,"effect":"repeatable"}]`, "settings.requestClasses[1].name"},
		{`"effect":"repeatable"`, `"points":-2,"effect":"repeatable"`, "settings.requestClasses[0].points"},
	} {
		text := strings.Replace(pretty, c.from, c.to, 1)
		if text == pretty {
			t.Fatalf("%s: nothing replaced", c.key)
		}
		_, err := loadText(t, text, nil)
		if err == nil {
			t.Errorf("%s: no error", c.key)
			continue
		}
		member, _, _ := strings.Cut(c.key[strings.LastIndex(c.key, ".")+1:], "[") // the last member's name
		line, column, ok := locate([]byte(text), c.key)
		if !ok {
			t.Fatalf("%s: not found in the text", c.key)
		}
		lines := strings.Split(text, "\n")
		before := lines[line-1][:column-1]
		if !strings.HasSuffix(strings.TrimRight(before, ": "), `"`+member+`"`) {
			t.Errorf("%s: %d:%d does not follow the key: %q", c.key, line, column, before)
		}
		want := fmt.Sprintf("config.json:%d:%d: %s: ", line, column, c.key)
		if !strings.Contains(err.Error(), want) {
			t.Errorf("%s: got %q, want it to hold %q", c.key, err, want)
		}
	}
}

// locate returns the position of a value by its key, and fails for keys that the text does not have.
func TestLocate(t *testing.T) {
	text := "{\"a\": {\"b\": [1, {\"c\": 2}],\n \"d\": \"x\"},\n \"e\": [[3], [4, 5]]}"
	for key, want := range map[string][2]int{"a": {1, 7}, "a.b[1].c": {1, 23}, "a.d": {2, 7}, "e[1][1]": {3, 17}} {
		line, column, ok := locate([]byte(text), key)
		if !ok || line != want[0] || column != want[1] {
			t.Errorf("%s: %d:%d %v, want %v", key, line, column, ok, want)
		}
	}
	for _, key := range []string{"b", "a.b[2]", "a.d.x", "e[x]"} {
		if _, _, ok := locate([]byte(text), key); ok {
			t.Errorf("%s: found", key)
		}
	}
}
