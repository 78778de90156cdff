package httpwire

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"runtime"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/google/go-cmp/cmp"
)

// entriesText returns the JSON text of n entries.
func entriesText(n int) string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf(`{"instanceId":"s-%d","hostPort":"10.0.0.1:%d","zone":"a","machineType":"m","cell":0,"lifecycle":"ready","weight":1,"startedAtMs":0}`, i, 1+i%60000)
	}
	return strings.Join(out, ",")
}

// A list that must not be used is an InvalidListError with the reason; text that cannot be parsed is another error.
func TestInvalidListsAreRejected(t *testing.T) {
	limits := ListLimits{Endpoints: 3, Zones: []string{"a", "b"}}
	list := func(instances string) string { return `{"generation":1,"reset":true,"instances":[` + instances + `]}` }
	entry := func(fields string) string {
		return list(`{"instanceId":"s-1","hostPort":"h:1","lifecycle":"ready",` + fields + `}`)
	}
	for text, want := range map[string]string{
		list(entriesText(3)):                         "",
		list(entriesText(4)):                         "more than 3 entries",
		entry(`"zone":"a"`):                          "",
		`{"generation":1,"generation":2}`:            "duplicate key",
		entry(`"zone":"a","x":` + longString(70000)): "value exceeds",
	} {
		got, err := ReadList(strings.NewReader(text), limits)
		var invalid *InvalidListError
		switch {
		case want == "" && err != nil:
			t.Errorf("%.80s: %v", text, err)
		case want != "" && (!errors.As(err, &invalid) || !strings.Contains(invalid.Reason, want)):
			t.Errorf("%.80s: %d entries, error %v, want %s", text, len(got.Endpoints), err, want)
		}
	}
	// A list of changes may contain a replica twice, and a removed replica needs no zone of the settings.
	changes := `{"generation":2,"instances":[{"instanceId":"s-1","hostPort":"h:1","lifecycle":"draining"},{"instanceId":"s-1","lifecycle":"gone","zone":"z"}]}`
	if got, err := ReadList(strings.NewReader(changes), limits); err != nil || len(got.Endpoints) != 2 {
		t.Errorf("changes: %+v, %v", got, err)
	}
	for _, text := range []string{"", "[]", `{"generation":1`, `{"generation":1}x`, `{"generation":"1"}`, `{"instances":{}}`, `{"instances":[{"instanceId":`} {
		var invalid *InvalidListError
		if _, err := ReadList(strings.NewReader(text), limits); err == nil || errors.As(err, &invalid) {
			t.Errorf("%q: error %v, want a parse error", text, err)
		}
	}
}

// An invalid entry is reported and used as far as it is valid. The entries before and after it are unchanged.
func TestInvalidEntries(t *testing.T) {
	limits := ListLimits{Endpoints: 4, Zones: []string{"a", "b"}}
	before, after := `{"instanceId":"s-a","hostPort":"h:1","zone":"a","lifecycle":"draining","weight":2}`, `{"instanceId":"s-z","hostPort":"h:2","zone":"b","lifecycle":"ready","weight":3}`
	for invalid, want := range map[string]struct {
		entry  Endpoint // the resulting entry; without an id: none
		reason string
	}{
		`7`:                      {reason: "cannot unmarshal number"},
		`null`:                   {reason: "missing instanceId"},
		`{"hostPort":"h:3"}`:     {reason: "missing instanceId"},
		`{"instanceId":["s-1"]}`: {reason: "cannot unmarshal array"},
		`{"instanceId":"s-1"}`:   {Endpoint{ID: "s-1", Partial: true}, "missing hostPort"},
		`{"instanceId":"s-1","hostPort":5,"lifecycle":"draining"}`:                                 {Endpoint{ID: "s-1", Lifecycle: "draining", Partial: true}, "cannot unmarshal number"},
		`{"instanceId":"s-1","hostPort":"h:3","lifecycle":{},"startedAtMs":"x"}`:                   {Endpoint{ID: "s-1", Partial: true}, "cannot unmarshal"},
		`{"instanceId":"s-1","hostPort":"h:3","lifecycle":"gone","startedAtMs":1e99}`:              {Endpoint{ID: "s-1", Lifecycle: "gone", Partial: true}, "cannot unmarshal"},
		`{"instanceId":"s-1","hostPort":"h:3","zone":"a","lifecycle":"ready","weight":-1}`:         {Endpoint{ID: "s-1", Addr: "h:3", Zone: "a", Lifecycle: "ready"}, "weight -1"},
		`{"instanceId":"s-1","hostPort":"h:3","zone":"a","lifecycle":"ready","weight":1e9}`:        {Endpoint{ID: "s-1", Addr: "h:3", Zone: "a", Lifecycle: "ready"}, "weight 1e+09"},
		`{"instanceId":"s-1","hostPort":"h:3","zone":"c","lifecycle":"ready"}`:                     {Endpoint{ID: "s-1", Addr: "h:3", Zone: "c", Lifecycle: "ready"}, `zone "c"`},
		`{"instanceId":"s-a","hostPort":"h:9","zone":"a","lifecycle":"ready"}`:                     {Endpoint{ID: "s-a", Addr: "h:9", Zone: "a", Lifecycle: "draining"}, "duplicate instanceId"},
		`{"instanceId":"s-1","hostPort":"h:3","zone":` + longString(200) + `,"lifecycle":"ready"}`: {Endpoint{ID: "s-1", Addr: "h:3", Zone: strings.Repeat("x", 200), Lifecycle: "ready", Partial: true}, "zone"},
	} {
		text := `{"generation":1,"reset":true,"instances":[` + before + "," + invalid + "," + after + `]}`
		got, err := ReadList(strings.NewReader(text), limits)
		wantEndpoints := []Endpoint{{ID: "s-a", Addr: "h:1", Zone: "a", Lifecycle: "draining", Weight: 2}}
		if want.entry.ID == "s-a" {
			wantEndpoints = nil
		}
		if want.entry.ID != "" {
			wantEndpoints = append(wantEndpoints, want.entry)
		}
		wantEndpoints = append(wantEndpoints, Endpoint{ID: "s-z", Addr: "h:2", Zone: "b", Lifecycle: "ready", Weight: 3})
		if diff := cmp.Diff(wantEndpoints, got.Endpoints); err != nil || diff != "" {
			t.Errorf("%.90s: %v\n%s", invalid, err, diff)
		}
		if got.InvalidEntryCount != 1 || len(got.InvalidEntries) != 1 || !strings.Contains(got.InvalidEntries[0].Reason, want.reason) {
			t.Errorf("%.90s: reported %+v, want %s", invalid, got.InvalidEntries, want.reason)
		}
	}
	// The number of reported entries is limited, and so is that of accepted zones that are not in the settings.
	var entries []string
	for i := range 100 {
		entries = append(entries, fmt.Sprintf(`{"instanceId":"s-%d","hostPort":"h:1","zone":"z%d","lifecycle":"ready"}`, i, i))
	}
	got, err := ReadList(strings.NewReader(`{"instances":[`+strings.Join(entries, ",")+`]}`), ListLimits{Zones: []string{"a"}})
	usable := 0
	for _, endpoint := range got.Endpoints {
		if !endpoint.Partial {
			usable++
		}
	}
	if err != nil || got.InvalidEntryCount != 100 || len(got.InvalidEntries) != maxReportedEntries || usable != maxUnconfiguredZones {
		t.Errorf("%v: %d invalid, %d reported, %d usable", err, got.InvalidEntryCount, len(got.InvalidEntries), usable)
	}
}

func longString(n int) string { return `"` + strings.Repeat("x", n) + `"` }

// A list is parsed alike in any framing, indentation, chunk size and division into reads, and its body is read to the
// end.
func TestListInEveryFraming(t *testing.T) {
	const n = 6000
	text := `{"generation":7,"reset":true,"instances":[` + entriesText(n) + `]}`
	var tree any
	if err := json.Unmarshal([]byte(text), &tree); err != nil {
		t.Fatal(err)
	}
	indented, err := json.MarshalIndent(tree, "", "    ")
	if err != nil {
		t.Fatal(err)
	}
	chunked := func(text string, size int) string {
		out := strings.Builder{}
		out.WriteString("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		for part := text; part != ""; part = part[min(size, len(part)):] {
			fmt.Fprintf(&out, "%x;x=y\r\n%s\r\n", min(size, len(part)), part[:min(size, len(part))])
		}
		return out.String() + "0\r\nX: y\r\n\r\n"
	}
	withLength := func(text string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	}
	for name, answer := range map[string]string{
		"length": withLength(text), "one chunk": chunked(text, len(text)), "many chunks": chunked(text, 1000), "chunks of one byte": chunked(text, 1),
		"indented": withLength(string(indented)), "indented, one chunk": chunked(string(indented), len(indented)),
		"to the connection's end": "HTTP/1.1 200 OK\r\n\r\n" + text,
	} {
		for _, reader := range []io.Reader{strings.NewReader(answer), iotest.HalfReader(strings.NewReader(answer)), iotest.DataErrReader(strings.NewReader(answer))} {
			in := bufio.NewReader(reader)
			resp, err := ReadHead(in)
			if err != nil {
				t.Fatal(err)
			}
			got, err := ReadList(NewBody(in, resp).Reader(), ListLimits{Endpoints: n})
			if err != nil || got.Generation != 7 || !got.Reset || len(got.Endpoints) != n || got.Endpoints[n-1].ID != "s-5999" {
				t.Errorf("%s: %d entries, %v", name, len(got.Endpoints), err)
			}
			if in.Buffered() > 0 {
				t.Errorf("%s: %d bytes left unread", name, in.Buffered())
			}
		}
	}
	// A body that is truncated or has malformed chunks is an error.
	oneChunk := chunked(text, len(text))
	for name, answer := range map[string]string{
		"truncated": oneChunk[:len(oneChunk)-40], "no last chunk": strings.TrimSuffix(oneChunk, "0\r\nX: y\r\n\r\n"), "an invalid length": strings.Replace(oneChunk, ";x=y", "zz", 1),
		"longer than its chunk": strings.Replace(oneChunk, "]}\r\n0", "]} \r\n0", 1), "truncated length": withLength(text)[:5000],
	} {
		in := bufio.NewReader(strings.NewReader(answer))
		resp, err := ReadHead(in)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := ReadList(NewBody(in, resp).Reader(), ListLimits{}); err == nil {
			t.Errorf("%s: accepted as a list", name)
		}
	}
}

// The text of a list is never buffered as a whole: the memory to read it depends on its entries only.
func TestListTextIsNotBuffered(t *testing.T) {
	spaces := strings.Repeat(" ", 40<<10)
	text := `{"generation":1,"reset":true,"instances":[` + strings.ReplaceAll(entriesText(200), "},", "}"+spaces+",") + `]}`
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	if _, err := ReadList(strings.NewReader(text), ListLimits{}); err != nil {
		t.Fatal(err)
	}
	runtime.ReadMemStats(&after)
	if got := after.TotalAlloc - before.TotalAlloc; got > uint64(len(text)/8) {
		t.Errorf("%d bytes allocated for a text of %d bytes", got, len(text))
	}
}
