package socket

import (
	"net/http"
	"strings"
	"testing"

	"archknot/choice"

	"github.com/google/go-cmp/cmp"
)

func TestListQuery(t *testing.T) {
	for since, want := range map[int64]string{
		NoVersion: "/registry/instances",
		// Version 0 is a list like any other: without 'since' the watch spun.
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

func TestReadJob(t *testing.T) {
	for name, c := range map[string]struct {
		h    http.Header
		want Job
		err  string
	}{
		"whole": {h: header("Req-Id", "9b1f", "Req-Kind", "chat", "Req-Owner", "acme", "Req-Key", "7f3a9c21e0b4d655",
			"Req-Deadline", "4800m", "Req-Extra", "prefix=5c0f6e1a2b3d4c59,prompt_len=5120,prefix_len=2048,max_out=800"),
			want: Job{ID: "9b1f", Wait: 4_800_000, Request: choice.Request{Class: "chat", Tenant: "acme",
				Session: 0x7f3a9c21e0b4d655, Prefix: 0x5c0f6e1a2b3d4c59, PromptTokens: 5120, PrefixTokens: 2048, MaxTokens: 800}}},
		"microseconds, length from the body": {h: header("Req-Id", "1", "Req-Deadline", "250u"),
			want: Job{ID: "1", Wait: 250, Request: choice.Request{PromptTokens: 10}}},
		"no id":        {h: header("Req-Deadline", "1m"), err: "Req-Id"},
		"no unit":      {h: header("Req-Id", "1", "Req-Deadline", "250"), err: "Req-Deadline"},
		"not a number": {h: header("Req-Id", "1", "Req-Deadline", "NaNm"), err: "Req-Deadline"},
		"no time":      {h: header("Req-Id", "1", "Req-Deadline", "0m"), err: "Req-Deadline"},
		"bad extra":    {h: header("Req-Id", "1", "Req-Extra", "prompt_len=-4"), err: "Req-Extra: prompt_len"},
	} {
		got, err := ReadJob(c.h, 40)
		if c.err != "" {
			if err == nil || !strings.Contains(err.Error(), c.err) {
				t.Errorf("%s: error %v, want %s", name, err, c.err)
			}
		} else if diff := cmp.Diff(c.want, got); err != nil || diff != "" {
			t.Errorf("%s: %v %s", name, err, diff)
		}
	}
}
