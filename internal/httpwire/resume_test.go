package httpwire

import (
	"net/http"
	"testing"
)

func TestParseResume(t *testing.T) {
	for text, want := range map[string]ResumeRequest{
		"id=a1,ask=1":                        {ID: "a1", Sequence: 1},
		"id=a1,ask=3,bytes=512,sum=7f3a9c21": {ID: "a1", Sequence: 3, ReceivedBytes: 512, Checksum: 0x7f3a9c21},
	} {
		if got, resuming, err := ParseResume(http.Header{ResumeHeader: {text}}); err != nil || !resuming || got != want {
			t.Errorf("%s: %+v, %v, %v", text, got, resuming, err)
		}
	}
	for _, text := range []string{"", "id=a1", "ask=1", "id=a1,ask=0", "id=a1,ask=x", "id=a1,ask=1,bytes=99999999", "id=a1,ask=1,bytes=-1", "id=a1,ask=1,sum=xyz", "a1"} {
		if _, resuming, err := ParseResume(http.Header{ResumeHeader: {text}}); err == nil || !resuming {
			t.Errorf("%q is accepted", text)
		}
	}
	if _, _, err := ParseResume(http.Header{ResumeHeader: {"id=a,ask=1", "id=a,ask=1"}}); err == nil {
		t.Error("two ResumeHeaders are accepted")
	}
	if _, resuming, err := ParseResume(http.Header{}); resuming || err != nil {
		t.Error(resuming, err)
	}
}
