package httpwire

import (
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"archknot/balancer"
)

func TestListQuery(t *testing.T) {
	for since, want := range map[int64]string{
		NoGeneration: "/registry/instances",
		// Generation 0 is valid: without since, each watch call would be answered at once, in a busy loop.
		0:  "/registry/instances?since=0&timeout_ms=8000",
		41: "/registry/instances?since=41&timeout_ms=8000",
	} {
		if got := ListQuery(since, 8000); got != want {
			t.Errorf("since %d: %s, want %s", since, got, want)
		}
	}
}

func header(pairs ...string) http.Header {
	h := http.Header{}
	for i := 0; i < len(pairs); i += 2 {
		h.Set(pairs[i], pairs[i+1])
	}
	return h
}

func TestParseRequest(t *testing.T) {
	for name, c := range map[string]struct {
		h    http.Header
		want ClientRequest
		err  string
	}{
		"all headers": {h: header("Req-Id", "9b1f", "Req-Kind", "chat", "Req-Owner", "acme", "Req-Key", "7f3a9c21e0b4d655",
			"Req-Deadline", "4800m", "Req-Extra", "prefix=5c0f6e1a2b3d4c59,prompt_len=5120,prefix_len=2048,max_out=800"),
			want: ClientRequest{ID: "9b1f", Timeout: 4_800_000, Request: balancer.Request{Class: "chat", Tenant: "acme",
				Session: 0x7f3a9c21e0b4d655, Prefix: 0x5c0f6e1a2b3d4c59, PromptTokens: 5120, PrefixTokens: 2048, MaxTokens: 800}}},
		"microseconds, length from the body": {h: header("Req-Id", "1", "Req-Deadline", "250u"),
			want: ClientRequest{ID: "1", Timeout: 250, Request: balancer.Request{PromptTokens: 10}}},
		"no id":           {h: header("Req-Deadline", "1m"), err: "Req-Id"},
		"no unit":         {h: header("Req-Id", "1", "Req-Deadline", "250"), err: "Req-Deadline"},
		"not a number":    {h: header("Req-Id", "1", "Req-Deadline", "NaNm"), err: "Req-Deadline"},
		"zero deadline":   {h: header("Req-Id", "1", "Req-Deadline", "0m"), err: "Req-Deadline"},
		"hexadecimal":     {h: header("Req-Id", "1", "Req-Deadline", "0x10m"), err: "Req-Deadline"},
		"space in id":     {h: header("Req-Id", "a b"), err: "Req-Id"},
		"long id":         {h: header("Req-Id", strings.Repeat("1", 129)), err: "Req-Id"},
		"two ids":         {h: http.Header{"Req-Id": {"1", "2"}}, err: "Req-Id"},
		"huge length":     {h: header("Req-Id", "1", "Req-Extra", "max_out=2000000000"), err: "Req-Extra: max_out"},
		"negative length": {h: header("Req-Id", "1", "Req-Extra", "prompt_len=-4"), err: "Req-Extra: prompt_len"},
	} {
		got, err := ParseRequest(c.h)
		got.EstimatePrompt(40)
		if c.err != "" {
			if err == nil || !strings.Contains(err.Error(), c.err) {
				t.Errorf("%s: error %v, want %s", name, err, c.err)
			}
		} else if diff := cmp.Diff(c.want, got); err != nil || diff != "" {
			t.Errorf("%s: %v %s", name, err, diff)
		}
	}
}

// A request of ambiguous length, which may hide another request in its body, is detected whether its bytes arrive at
// once or one by one.
func TestFraming(t *testing.T) {
	const head = "POST / HTTP/1.1\r\nHost: a\r\n"
	plain := head + "Content-Length: 5\r\n\r\nhello"
	chunked := head + "Transfer-Encoding: chunked\r\n\r\n5;x=y\r\nhello\r\n0\r\nA: b\r\n\r\n"
	for text, ambiguous := range map[string]bool{
		plain + chunked + head + "\r\n" + plain:                                                                            false,
		head + "X: " + strings.Repeat("Content-Length: 1 ", 40) + "\r\nContent-Length: 0\r\n\r\n" + plain:                  false,
		plain + head + "content-length: 5\r\nTRANSFER-ENCODING:chunked\r\n\r\n":                                            true,
		head + "Transfer-Encoding: chunked\nContent-Length: 5\n\n":                                                         true,
		head + "Content-Length: 5\r\nContent-Length: 6\r\n\r\n":                                                            true,
		head + "Transfer-Encoding: xchunked\r\n\r\n":                                                                       true,
		head + "Transfer-Encoding:\r\n chunked\r\n\r\n":                                                                    true,
		head + "Content-Length: +5\r\n\r\n":                                                                                true,
		head + "Content-Length: -5\r\n\r\n":                                                                                true,
		head + "Content-Length: 99999999999999999999\r\n\r\n":                                                              true,
		"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n":                                                            true,
		head + "Transfer-Encoding: chunked\r\n\r\nfive\r\n":                                                                true,
		head + "Transfer-Encoding: chunked\r\n\r\n2\r\nhello\r\n":                                                          true,
		head + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("0", 300) + "\r\n":                                    true,
		chunked + head + "Content-Length: 3\r\n\r\nabc" + head + "Transfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n": true,
	} {
		var atOnce, bytewise RequestFraming
		atOnce.Write([]byte(text))
		for i := range len(text) {
			bytewise.Write([]byte(text[i : i+1]))
		}
		if (atOnce.Ambiguity != "") != ambiguous || bytewise.Ambiguity != atOnce.Ambiguity {
			t.Errorf("%q: %q, byte by byte %q, want ambiguous: %t", text, atOnce.Ambiguity, bytewise.Ambiguity, ambiguous)
		}
	}
}

func TestEndsEvent(t *testing.T) {
	for text, want := range map[string]bool{"data: x\n\n": true, "data: x\r\n\r\n": true, "data: x\r\r": true, "\n\n": true,
		"": false, "data: x": false, "data: x\n": false, "data: x\r\n": false, "data: x\n\nd": false, "\n": false} {
		if got := EndsEvent([]byte(text)); got != want {
			t.Errorf("%q: %t", text, got)
		}
	}
}

// Of a head with too many fields the server parses no more than MaxHeadFields, wherever the reads end, and an earlier request is
// served whole.
func TestFieldsOfAHeadAreBounded(t *testing.T) {
	const start = "POST / HTTP/1.1\r\n"
	fields := func(n int) string { return strings.Repeat("a:\r\n", n) }
	whole := start + "Content-Length: 2\r\n" + fields(MaxHeadFields-1) + "\r\nab"
	for name, c := range map[string]struct {
		text     string
		accepted int
	}{
		"as many as allowed":         {whole + whole, 2 * len(whole)},
		"one more":                   {whole + start + fields(MaxHeadFields+1), len(whole) + len(start+fields(MaxHeadFields))},
		"many more":                  {start + fields(3000) + "\r\n", len(start + fields(MaxHeadFields))},
		"in a trailer":               {start + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + fields(MaxHeadFields), len(start+"Transfer-Encoding: chunked\r\n\r\n0\r\n") + len(fields(MaxHeadFields-1))},
		"after an ambiguous header":  {start + " folded\r\n" + fields(3000), -1},
		"after an invalid body size": {start + "Content-Length: x\r\n\r\n" + fields(3000), -1},
	} {
		var atOnce, bytewise RequestFraming
		accepted := atOnce.Write([]byte(c.text))
		steps := 0
		for steps < len(c.text) && bytewise.Write([]byte{c.text[steps]}) == 1 {
			steps++
		}
		if c.accepted < 0 {
			if !atOnce.TooManyFields || !bytewise.TooManyFields || strings.Count(c.text[:accepted], "\n") > MaxHeadFields+2 || strings.Count(c.text[:steps], "\n") > MaxHeadFields+2 {
				t.Errorf("%s: accepted %d bytes at once, %d one by one", name, accepted, steps)
			}
			continue
		}
		// Byte by byte the line with the field too many is known at its end only.
		if accepted != c.accepted || steps < c.accepted || steps > c.accepted+len("a:\r\n") || atOnce.TooManyFields != bytewise.TooManyFields {
			t.Errorf("%s: accepted %d at once, %d one by one, want %d", name, accepted, steps, c.accepted)
		}
	}
}
