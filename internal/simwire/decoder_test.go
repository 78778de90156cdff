package simwire

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"archknot/balancer"
)

// setupText is a small settings object with unknown keys.
const setupText = `{"nInstances":2,"selfIndex":1,"zone":"a","zones":["a","b"],"kinds":["k"],"discovery":"pushed",` +
	`"weights":"live","futureKey":{"x":[1]},"feedback":{"via":"inline","names":["x0"]},` +
	`"limits":{"maxAttempts":3,"multiplex":1,"connIdleUs":5000000,"cancelling":true},"tickUs":4000,` +
	`"extra":{"aimUsPer1000PromptTokens":[40000.0],"tokenAimUs":[100000.0]},` +
	`"rules":{"startCapacity":0.12,"coldUs":24000000,"fallMultiple":4.0,"tipAfterUs":1500000},` +
	`"penalties":{"crossZone":0.02,"handshake":0.12,"probe":0.002},` +
	`"requestClasses":[{"name":"chat","targetUs":1200000,"deadlineUs":4000000,"points":1.5,"lateShare":0.3,` +
	`"effect":"by_key","group":"zone","memorySpanUs":5000000,"streamed":true}],` +
	`"tenants":[{"name":"t","allowancePerS":13.0,"fraction":0.5}]}`

func joinLines(parts ...string) string { return strings.Join(parts, "\n") + "\n" }

func decodeAll(t *testing.T, text string) []Event {
	t.Helper()
	d := NewDecoder(strings.NewReader(text))
	var out []Event
	for {
		ev, err := d.Next()
		if errors.Is(err, io.EOF) {
			return out
		}
		if err != nil {
			t.Fatalf("line %d: %v", d.Line(), err)
		}
		out = append(out, *ev)
	}
}

func TestDecodesEveryEvent(t *testing.T) {
	got := decodeAll(t, joinLines("TURN\t5", "OVER_TO_YOU", "", "TURN\t10", "ON\t3", "BORN\t18446744073709551615\t"+setupText,
		"INVENTORY\t0\t2", "ROW\tactive\t51530247\t1\t0\tk\t-\ta", "ROW\tleaving\t7\t1.5\t2\tk\t6100000\tb",
		"MEMBERS\tSAVED\t41\t0", "INVENTORY\t0\t1", "ROW\tleft\t7\t1\t2\tk\t0\tb", "MEMBERS\tINCREMENTAL\t42\t0",
		"MEMBERS\tFAILED\t-\t-",
		"JOB_IN\t1564119492\t3\t1200\t1800\t240000\tt\t-\t2b8e6401d9f37c10\t256\t-\tchat",
		"TIMER\t77", "PROBE_RESULT\t7\tdelivered\t1400\tserved_ps:140,svc_ms:14.5,busy_reqs:7,x0:0.4,new_name:3",
		"ON\t5", "RETURNED\t9\t1\t7\tshed\t18500\t0\t-\t-", "OPENED\t9\t7\t9250\t1", "MESSAGE\t2\taGkgNw==",
		"LAPSED\t9", "KILL", "OVER_TO_YOU"))
	kinds := []Kind{BatchEnd, InstanceStarted, EndpointList, EndpointList, EndpointList, RequestArrived, TimerFired, HealthCheckEnded, AttemptEnded, FirstToken, PeerMessage, ClientGone, InstanceKilled,
		BatchEnd}
	if len(got) != len(kinds) {
		t.Fatalf("%d events, want %d", len(got), len(kinds))
	}
	for i, k := range kinds {
		if got[i].Kind != k {
			t.Fatalf("event %d: kind %d, want %d", i, got[i].Kind, k)
		}
	}
	s := got[1].Settings
	c := s.Classes[0]
	if got[1].Seed != 1<<64-1 || s.Gateways != 2 || s.Self != 1 || s.WeightKind != balancer.WeightLive || c.Idempotency != balancer.IdempotentWithKey ||
		c.DedupScope != balancer.DedupZone || c.PriorityWeight != 1.5 || c.TokenObjective != 100000 || s.HandshakeCost != 0.12 ||
		s.OverloadWindow != 1500000 || s.Tenants[0].QuotaPerS != 13 || s.ReportSource != balancer.ReportInline {
		t.Errorf("settings %+v", s)
	}
	if m := got[2].Endpoints.Endpoints; len(m) != 2 || m[1].Weight != 1.5 || m[1].State != balancer.EndpointDraining ||
		m[1].StartedAt != 6100000 || m[0].StartedAt != 0 || m[1].Zone != "b" {
		t.Errorf("list %+v (a reused number must not change the list before it)", m)
	}
	if m := got[3].Endpoints.Endpoints; len(m) != 1 || m[0].State != balancer.EndpointRemoved {
		t.Errorf("reused list %+v", m)
	}
	if r := got[5].Request; r.ID != 1564119492 || r.PrefixTokens != 1200 || r.PromptTokens != 1800 || r.TimeLeft != 240000 ||
		r.Prefix != 0x2b8e6401d9f37c10 || r.Session != 0 || r.MaxTokens != 256 || r.Class != "chat" || r.Tenant != "t" {
		t.Errorf("request %+v", r)
	}
	if r := got[7].Outcome.Report; r.Has != balancer.HasService|balancer.HasInFlight|balancer.HasMemory || r.MemoryShare != 0.4 {
		t.Errorf("report %+v", r)
	}
	if o := got[8].Outcome; got[8].Gateway != 5 || o.ID != 9 || o.Attempt != 1 || o.Status != balancer.Shed || o.Final {
		t.Errorf("outcome %+v", o)
	}
	if string(got[10].Body) != "hi 7" {
		t.Errorf("body %q", got[10].Body)
	}
}

func TestDecodesEveryStatus(t *testing.T) {
	for word, want := range map[string]balancer.Status{"delivered": balancer.Served, "app_error": balancer.Errored,
		"shed": balancer.Shed, "expired": balancer.TimedOut, "dial_failed": balancer.ConnectFailed, "dropped": balancer.ConnBroken,
		"revoked": balancer.Cancelled, "unused": balancer.NotSent} {
		got := decodeAll(t, joinLines("TURN\t1", "ON\t0", "RETURNED\t1\t0\t2\t"+word+"\t1\t1\t12\tx0:0.5", "OVER_TO_YOU"))
		if got[0].Outcome.Status != want || got[0].Outcome.CachedTokens != 12 {
			t.Errorf("%s: %+v", word, got[0].Outcome)
		}
	}
}

func TestInvalidInputErrors(t *testing.T) {
	for text, want := range map[string]string{
		"HELLO\n":                                           "unknown event",
		"TIMER\t1\n":                                        "outside a batch",
		"TURN\t1\nTIMER\t1\n":                               "no ON line before it in the batch",
		"TURN\t1\nON\t1\nTIMER\tx\n":                        "field 1 (ref): expected a whole number",
		"TURN\t1\nON\t1\nTIMER\t1\t2\n":                     "expected 1 fields, got 2",
		"TURN\t1\nON\t1\nRETURNED\t1\n":                     "expected 8 fields",
		"TURN\t1\nON\t1\nLAPSED\t4294967296\n":              "at most 4294967295",
		"TURN\t9\nOVER_TO_YOU\nTURN\t8\n":                   "earlier than that of the previous batch",
		"TURN\t1\nON\t1\nMEMBERS\tFULL\t1\t3\n":             "no INVENTORY has number 3",
		"TURN\t1\nINVENTORY\t16\t0\n":                       "at most 15",
		"TURN\t1\nINVENTORY\t0\t1\nTIMER\t1\n":              "expected ROW",
		"TURN\t1\nON\t1\nBORN\t1\t{\n":                      "JSON",
		"TURN\t1\nON\t1\nBORN\t1\t{\"weights\":\"odd\"}\n":  "unknown value",
		"TURN\t1\nON\t1\nMESSAGE\t1\t!!\n":                  "base64",
		"TURN\t1\nON\t1\nKILL":                              "cut off",
		"TURN\t1\nON\t1\nKILL\n":                            "within a batch",
		"TURN\t1\nON\t1\nOPENED\t1\t2\t3\t-\n":              "field 4 (n)",
		"TURN\t1\nON\t1\nPROBE_RESULT\t1\tfine\t1\t-\n":     "a known outcome",
		"TURN\t1\nON\t1\nPROBE_RESULT\t1\texpired\t1\tx0\n": "name:number",
	} {
		d := NewDecoder(strings.NewReader(text))
		var err error
		for err == nil {
			_, err = d.Next()
		}
		if errors.Is(err, io.EOF) || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: got %v, want %q", text, err, want)
		}
	}
}

func TestEncodesEveryAction(t *testing.T) {
	var out bytes.Buffer
	e := NewEncoder(&out)
	a, b := e.Sink(3), e.Sink(5)
	a.Dispatch(1564119492, 51530247, 8492250)
	a.SetTimer(500000, 77)
	a.Cancel(1, 2)
	b.Shed(1, 250000)
	b.Fail(2)
	b.HealthCheck(7)
	a.Gossip([]byte("hi 7"))
	a.WatchDiscovery()
	if err := e.Flush(); err != nil {
		t.Fatal(err)
	}
	if err := e.Flush(); err != nil {
		t.Fatal(err)
	}
	want := joinLines("FOR\t3", "SUBMIT_TO\t1564119492\t51530247\t8492250", "SET_ALARM\t500000\t77", "DROP_ATTEMPT\t1\t2",
		"FOR\t5", "BUSY\t1\t250000", "FAIL\t2", "HEALTH_CHECK\t7", "FOR\t3", "POST\t-1\taGkgNw==", "TRACK\t1", "DONE", "DONE")
	if out.String() != want {
		t.Errorf("got\n%s\nwant\n%s", out.String(), want)
	}
}

func FuzzDecoder(f *testing.F) {
	f.Add([]byte(joinLines("TURN\t1", "ON\t1", "BORN\t1\t"+setupText, "OVER_TO_YOU")))
	f.Add([]byte(joinLines("TURN\t1", "INVENTORY\t0\t1", "ROW\tactive\t1\t1\t0\tk\t-\ta", "ON\t1", "MEMBERS\tFULL\t1\t0")))
	f.Add([]byte("TURN\t1\nON\t1\nRETURNED\t1\t0\t2\tshed\t1\t0\t-\tx0:1e300,x1:nan\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		d := NewDecoder(bytes.NewReader(in))
		for n := 0; ; n++ {
			if _, err := d.Next(); err != nil {
				return
			}
			if n > len(in) {
				t.Fatal("more events than bytes")
			}
		}
	})
}

// Marshalled settings parse to the same settings.
func TestSettingsRoundTrip(t *testing.T) {
	in := balancer.Settings{Self: 2, Gateways: 5, Zone: "a", Zones: []string{"a", "b"}, Kinds: []string{"k"}, OverQuotaWeight: 0.05, Tick: 2000, ReportSource: balancer.ReportInline,
		WeightKind: balancer.WeightNominal, PollDiscovery: true, MayHealthCheck: true, MayCancel: true, MayHedge: true, RetryAfter: true, MaxAttempts: 3, MaxRetryAfter: 2_000_000,
		InitialCapacity: 0.3, OverloadMultiple: 3, SlowStartFor: 8_000_000, OverloadWindow: 1_500_000, StreamsPerConn: 1, ConnIdleTimeout: 60_000_000, CrossZoneCost: 0.02, HandshakeCost: 0.02, HealthCheckCost: 0.002,
		Classes: []balancer.Class{{Name: "once", LatencyObjective: 1, ObjectivePer1000Tokens: 2, TokenObjective: 3, Deadline: 4, PriorityWeight: 5, LateWeightShare: 0.5, Idempotency: balancer.NonIdempotent, Streaming: true}},
		Tenants: []balancer.Tenant{{Name: "t", QuotaPerS: 7}}}
	text, err := MarshalSettings(in)
	if err != nil {
		t.Fatal(err)
	}
	out, err := ParseSettings(text)
	if diff := cmp.Diff(in, out); err != nil || diff != "" {
		t.Error(err, diff)
	}
}
