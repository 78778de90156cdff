package lifecycle_test

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"archknot/internal/contract"
	"archknot/internal/controlsocket"
	"archknot/internal/controlstats"
	"archknot/internal/lifecycle"
	"archknot/internal/xdsclient"
)

// message is one command on the control socket and its response, as JSON.
type message struct {
	Name     string          `json:"name"`
	Request  json.RawMessage `json:"order"`
	Response json.RawMessage `json:"answer"`
}

// storedMessages returns the messages of testdata by the command's name.
func storedMessages(t *testing.T) map[string]message {
	t.Helper()
	text, err := os.ReadFile("testdata/stored/control.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	messages := map[string]message{}
	for line := range bytes.Lines(text) {
		var m message
		if err := json.Unmarshal(line, &m); err != nil {
			t.Fatal(err)
		}
		messages[m.Name] = m
	}
	return messages
}

// The control socket's messages are compatible with the build of commit b3142ba: requests are sent as
// stored, stored responses are decoded with all their fields, and the same responses are encoded as stored.
func TestStoredControlMessages(t *testing.T) {
	stored := storedMessages(t)
	handlers := map[string]controlsocket.Handler{}
	for name, m := range stored {
		handlers[name] = func(_ context.Context, request json.RawMessage) (any, error) {
			if string(request) != string(m.Request) {
				t.Errorf("%s: the request is %s, expected %s", name, request, m.Request)
			}
			return m.Response, nil
		}
	}
	socket := filepath.Join(t.TempDir(), "c.sock")
	server, err := controlsocket.Listen(socket, handlers)
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	at := time.Date(2026, 12, 2, 9, 30, 0, 123000000, time.UTC)
	for _, c := range []struct {
		name                string
		request, read, want any
	}{
		{"capture/save", lifecycle.SaveCaptureRequest{Reason: "chat is late"}, &lifecycle.SaveCaptureResponse{}, &lifecycle.SaveCaptureResponse{Path: "captures/incidents/1", Segments: 3, Bytes: 4096}},
		{"config/status", struct{}{}, &lifecycle.ConfigStatus{}, &lifecycle.ConfigStatus{Service: "127.0.0.1:18000", Connected: true, Version: 42, Classes: 3, Tenants: 2, Marks: 1}},
		{"config/history", struct{}{}, &[]xdsclient.HistoryEntry{}, &[]xdsclient.HistoryEntry{{At: at, Version: 41, Event: "refused", Reason: "no"},
			{At: time.Date(2026, 12, 2, 9, 31, 0, 0, time.UTC), Version: 42, Event: "taken"}}},
		{"config/rollback", lifecycle.RollbackRequest{Reason: "ordered"}, &lifecycle.ConfigStatus{}, &lifecycle.ConfigStatus{Service: "127.0.0.1:18000"}},
		{"figures", struct{}{}, &controlstats.Stats{}, &controlstats.Stats{Listed: 1, Ready: 2, Subset: 3, OutsideTargets: 4, Joined: 5, Left: 6, RejectedLists: 7, MalformedEntries: 8, UnknownKeys: 9,
			ClosedConnections: map[string]int64{"idle": 10}, EjectedReplicas: 11, Drained: true, OrdersNotSaved: true, OperatorCalls: []controlstats.OperatorCallCount{{Call: "drain", Accepted: true, Count: 12}}, ListVersion: 13,
			ListReceivedAt: time.Date(2026, 12, 2, 9, 32, 0, 0, time.UTC), Connections: 14, LoopBusy: 15, Reports: controlstats.ReportAge{WithReport: 16, WithoutReport: 17, Sum: 18},
			Traffic: [3]controlstats.Traffic{{Calls: 19, ConnectionsOpened: 20, BytesIn: 21, BytesOut: 22}, {Calls: 23, ConnectionsOpened: 24, BytesIn: 25, BytesOut: 26}, {Calls: 27, ConnectionsOpened: 28, BytesIn: 29, BytesOut: 30}}}},
		{"contracts/accounts", struct{}{}, &[]contract.AccountStatus{}, &[]contract.AccountStatus{{Team: "quay", Level: 1, OpenCharges: 2, Used: [3]contract.Units{3, 4, 5}, Ends: [3]int64{6, 7, 8},
			Limit: [3]contract.Units{9, 10, 11}, QuotaShare: 0.5, InForce: true,
			Counters: contract.Counters{Admitted: 12, OverQuota: 13, Rejected: 14, AdmittedUnits: 15, OverQuotaUnits: 16, RejectedUnits: 17, Borrowed: 18, Used: 19}}}},
	} {
		if err := controlsocket.Call(t.Context(), socket, c.name, c.request, c.read); err != nil {
			t.Errorf("%s: %v", c.name, err)
		}
		if diff := cmp.Diff(c.want, c.read); diff != "" {
			t.Errorf("%s: %s", c.name, diff)
		}
		if text, err := json.Marshal(c.want); err != nil || string(text) != string(stored[c.name].Response) {
			t.Errorf("%s: the response is %s, expected %s (%v)", c.name, text, stored[c.name].Response, err)
		}
		delete(stored, c.name)
	}
	if len(stored) > 0 {
		t.Errorf("not tested: %v", stored)
	}
}
