package lifecycle

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"archknot/balancer"
	"archknot/internal/config"
)

const validConfig = `{"name":"n3","listen":"127.0.0.1:0","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
 "known":{"generation":0,"reset":true,"instances":[
  {"instanceId":"s-1","hostPort":"127.0.0.1:9001","zone":"a","machineType":"m2","lifecycle":"ready","weight":1}]},
 "settings":{"nInstances":1,"zone":"a","limits":{"maxAttempts":3,"connIdleUs":60000000,"connectTimeoutUs":50000,
   "mostHeld":20000,"maxRetryAfterUs":2000000,"retryAfter":false,"peers":true},"rules":{"askWithinUs":10000000},
  "requestClasses":[{"name":"chat","targetUs":1000000,"deadlineUs":3000000,"effect":"repeatable","streamed":true}]}}`

// loadText loads a configuration with that text as NODE_CONFIG.
func loadText(t *testing.T, text string, env map[string]string) (Config, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return Load(func(key string) string {
		if key == "NODE_CONFIG" {
			return path
		}
		return env[key]
	})
}

func TestLoad(t *testing.T) {
	c, err := loadText(t, validConfig, map[string]string{"NODE_LISTEN": "127.0.0.2:8081", "NODE_NAME": "n4"})
	if err != nil {
		t.Fatal(err)
	}
	o := c.Gateway
	if c.Listen != "127.0.0.2:8081" || o.Name != "n4" || o.Seed != 0x8c1f30d27a5be964 || c.Cores != 1 {
		t.Errorf("%+v", c)
	}
	if o.MaxInFlight > o.MaxClientConns {
		t.Errorf("%d requests over %d connections", o.MaxInFlight, o.MaxClientConns)
	}
	if o.ReplicaConnReuseDelay < 10*time.Millisecond || o.ReplicaConnReuseDelay > 100*time.Millisecond { // a second response comes some milliseconds late
		t.Errorf("reuse delay %v", o.ReplicaConnReuseDelay)
	}
	if o.ReplicaConnIdleTimeout >= 60*time.Second || o.ConnectTimeout != 50*time.Millisecond || o.WatchWait > 10*time.Second {
		t.Errorf("idle %v, connect %v, watch %v", o.ReplicaConnIdleTimeout, o.ConnectTimeout, o.WatchWait)
	}
	// Discovery queues calls for 2 s, so a call with a shorter timeout would have no response. A call must
	// not last longer than the time after which discovery counts a gateway without a poll as notified.
	if o.DiscoveryTimeout <= 2*time.Second || o.WatchWait+o.DiscoveryTimeout > o.MaxPollInterval {
		t.Errorf("calls end after %v, watches after %v, polls expected within %v", o.DiscoveryTimeout, o.WatchWait, o.MaxPollInterval)
	}
	if !o.Settings.RetryAfter || !o.Settings.PollDiscovery || o.Settings.MayGossip || len(o.CachedList.Endpoints) != 1 || o.CachedList.Generation != 0 {
		t.Errorf("%+v", o)
	}
	want := balancer.Class{Name: "chat", LatencyObjective: 1e6, Deadline: 3e6, Streaming: true}
	if diff := cmp.Diff(want, o.Settings.Classes[0]); diff != "" {
		t.Error(diff)
	}
}

// All sockets together stay below the limit, down to the smallest limit. A fixed number of overflow
// connections would exceed small limits: 156 sockets at a limit of 128.
func TestSocketsAddUp(t *testing.T) {
	for _, sockets := range []int{64, 128, 1024} {
		c, err := loadText(t, strings.Replace(validConfig, `"sockets":1024`, fmt.Sprintf(`"sockets":%d`, sockets), 1), nil)
		if err != nil {
			t.Fatal(err)
		}
		o := c.Gateway
		if sum := o.MaxClientConns + o.OverflowConns + o.MaxReplicaConns; sum > sockets-16 || o.OverflowConns < 1 || o.MaxReplicaConns < o.MaxClientConns {
			t.Errorf("of %d: clients %d, overflow %d, replicas %d", sockets, o.MaxClientConns, o.OverflowConns, o.MaxReplicaConns)
		}
	}
}

// Each error names the key at fault.
func TestInvalidKeysAreNamed(t *testing.T) {
	for _, c := range []struct{ from, to, want string }{
		{`127.0.0.1:0`, `here`, "listen"},
		{`127.0.0.1:8500`, ``, "discovery"},
		{`8c1f30d27a5be964`, `xyz`, "seed"},
		{`"cores":1.0`, `"cores":0`, "limits.cores"},
		{`"memory_mb":192`, `"memory_mb":8`, "limits.memory_mb"},
		{`"sockets":1024`, `"sockets":"many"`, "limits.sockets"},
		{`"sockets":1024`, `"sockets":10`, "limits.sockets"},
		{`{"generation":0,"reset":true,`, `{"generation":0,"generation":1,"reset":true,`, "known"},
		{`"listen":"127.0.0.1:0",`, `"listen":"127.0.0.1:0","admin":"here",`, "config.json:1:45: admin"},
		{`"nInstances":1`, `"nInstances":0`, "settings.nInstances"},
		{`"maxAttempts":3`, `"maxAttempts":0`, "settings.limits.maxAttempts"},
		{`"deadlineUs":3000000`, `"deadlineUs":0`, "settings.requestClasses[0]"},
		{`"effect":"repeatable"`, `"effect":"odd"`, "settings: requestClasses.effect"},
		{`"name":"chat",`, ``, "settings.requestClasses[0].name"},
		{`"mostHeld":20000`, `"mostHeld":-1`, "limits.mostHeld"},
		{`"settings"`, `"setings"`, "settings: missing"},
		{`{"name":"n3"`, `{"name":"n3`, "NODE_CONFIG"},
	} {
		text := strings.Replace(validConfig, c.from, c.to, 1)
		if _, err := loadText(t, text, nil); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s -> %s: %v, want %s", c.from, c.to, err, c.want)
		}
	}
	if _, err := Load(func(string) string { return "" }); err == nil || !strings.Contains(err.Error(), "NODE_CONFIG") {
		t.Errorf("without a path: %v", err)
	}
}

// An invalid entry of the known endpoint list does not stop the start: it is reported, and the other
// entries are used.
func TestInvalidKnownEntries(t *testing.T) {
	text := strings.Replace(validConfig, `"instances":[`, `"instances":[{"instanceId":"s-0","zone":"a","lifecycle":"ready"},7,`, 1)
	c, err := loadText(t, text, nil)
	if err != nil {
		t.Fatal(err)
	}
	known := c.Gateway.CachedList
	if len(known.Endpoints) != 2 || known.InvalidEntryCount != 2 || !known.Endpoints[0].Partial || known.Endpoints[1].ID != "s-1" {
		t.Errorf("%+v", known)
	}
}

// NODE_ADMIN takes precedence over the file's admin address, which reserves sockets of its own.
func TestAdmin(t *testing.T) {
	text := strings.Replace(validConfig, `"name"`, `"admin":"127.0.0.1:15000","name"`, 1)
	with, err := loadText(t, text, nil)
	if err != nil || with.Admin != "127.0.0.1:15000" {
		t.Fatal(with.Admin, err)
	}
	if c, err := loadText(t, text, map[string]string{"NODE_ADMIN": "127.0.0.2:15001"}); err != nil || c.Admin != "127.0.0.2:15001" {
		t.Error(c.Admin, err)
	}
	without, err := loadText(t, validConfig, nil)
	if err != nil || without.Admin != "" || with.Gateway.MaxClientConns+with.Gateway.MaxReplicaConns > without.Gateway.MaxClientConns+without.Gateway.MaxReplicaConns-adminSockets/2 {
		t.Errorf("connections with %d and %d, without %d and %d", with.Gateway.MaxClientConns, with.Gateway.MaxReplicaConns, without.Gateway.MaxClientConns, without.Gateway.MaxReplicaConns)
	}
}

// On a reload the file's discovery address takes precedence, because NODE_DISCOVERY still names the previous
// service. An error about an invalid file names the key.
func TestReload(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	getenv := func(key string) string {
		return map[string]string{"NODE_CONFIG": path, "NODE_DISCOVERY": "127.0.0.1:8500"}[key]
	}
	write := func(old, replacement string) {
		if err := os.WriteFile(path, []byte(strings.Replace(validConfig, old, replacement, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("", "")
	c, err := Load(getenv)
	if err != nil {
		t.Fatal(err)
	}
	write("127.0.0.1:8500", "127.0.0.1:8600")
	next, err := Reload(getenv)
	if err != nil || next.Gateway.Discovery != "127.0.0.1:8600" || len(c.restartKeys(next)) != 0 {
		t.Errorf("%q %v %v", next.Gateway.Discovery, c.restartKeys(next), err)
	}
	write(`"maxAttempts":3`, `"maxAttempts":2`)
	if next, err = Reload(getenv); err != nil || strings.Join(c.restartKeys(next), ",") != "settings" {
		t.Errorf("%v %v", c.restartKeys(next), err)
	}
	write(`"127.0.0.1:8500"`, `"nowhere"`)
	if _, err = Reload(getenv); err == nil || !strings.Contains(err.Error(), "discovery") {
		t.Errorf("an invalid address: %v", err)
	}
}

// At any fleet size an unresponsive watch is detected, and the first call after it answered, before the endpoint list
// is too old to be used. The wait of a watch grows with the number of gateways, so without a bound (it reached 7.5 s)
// the list gets too old. The longest poll interval that a streamed version may set has the same bound.
func TestListStaysFreshAtAnyFleetSize(t *testing.T) {
	const firstCall, transit = 250 * time.Millisecond, time.Second
	for _, grace := range []balancer.Micros{0, 1_000_000, 2_500_000} {
		for _, gateways := range []int{1, 3, 10, 30, 80, 200, 300, 900} {
			s := balancer.Settings{Gateways: gateways, DrainGrace: grace}
			watchWait, responseTimeout := watchTimeouts(&s, 10*time.Second)
			detection := watchWait + min(responseTimeout, 1500*time.Millisecond)
			if maxAge := transit + detection + firstCall + responseTimeout; maxAge > microseconds(s.ListValidity()) && watchWait > minWatchWait {
				t.Errorf("%d gateways, grace %d us: the list is %v old, but expires after %d us", gateways, grace, maxAge, s.ListValidity())
			}
		}
	}
	for _, grace := range []balancer.Micros{0, 1_000_000, 1_500_000, 2_500_000} { // with an agent on this machine
		s := balancer.Settings{Gateways: 3, DrainGrace: grace, LocalDiscovery: true}
		watchWait, responseTimeout := watchTimeouts(&s, 10*time.Second)
		if maxAge := watchWait + watchWait/8 + 2*responseTimeout; maxAge > microseconds(s.ListValidity()) {
			t.Errorf("grace %d us: a list of the agent is %v old, but expires after %d us", grace, maxAge, s.ListValidity())
		}
	}
	server := &server{config: Config{}}
	server.config.Gateway.MaxPollInterval = 10 * time.Second
	server.config.Gateway.Settings.DrainGrace = 2_500_000
	server.fileSettings = &config.Config{}
	if got, trust := server.versionLimits().MaxPollInterval, server.config.Gateway.Settings.ListValidity(); got > trust {
		t.Errorf("a version may set a poll interval of %d us, but a list expires after %d us", got, trust)
	}
}
