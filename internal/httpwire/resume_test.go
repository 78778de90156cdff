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
		if got, asked, err := ParseResume(http.Header{ResumeHeader: {text}}); err != nil || !asked || got != want {
			t.Errorf("%s: %+v, %v, %v", text, got, asked, err)
		}
	}
	for _, text := range []string{"", "id=a1", "ask=1", "id=a1,ask=0", "id=a1,ask=x", "id=a1,ask=1,bytes=99999999", "id=a1,ask=1,bytes=-1", "id=a1,ask=1,sum=xyz", "a1"} {
		if _, asked, err := ParseResume(http.Header{ResumeHeader: {text}}); err == nil || !asked {
			t.Errorf("%q is taken", text)
		}
	}
	if _, _, err := ParseResume(http.Header{ResumeHeader: {"id=a,ask=1", "id=a,ask=1"}}); err == nil {
		t.Error("given twice, and taken")
	}
	if _, asked, err := ParseResume(http.Header{}); asked || err != nil {
		t.Error(asked, err)
	}
}
