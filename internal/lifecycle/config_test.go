package lifecycle

import (
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"archknot/balancer"
	"archknot/internal/capture"
	"archknot/internal/controlsocket"
	"archknot/internal/replay"

	"github.com/google/go-cmp/cmp"
)

const validConfig = `{"name":"n3","listen":"127.0.0.1:0","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
 "known":{"generation":0,"reset":true,"instances":[
  {"instanceId":"s-1","hostPort":"127.0.0.1:9001","zone":"a","machineType":"m2","lifecycle":"ready","weight":1}]},
 "settings":{"nInstances":1,"zone":"a","limits":{"maxAttempts":3,"connIdleUs":60000000,"connectTimeoutUs":50000,
   "mostHeld":20000,"maxRetryAfterUs":2000000,"retryAfter":false,"peers":true},"rules":{"askWithinUs":10000000},
  "requestClasses":[{"name":"chat","targetUs":1000000,"deadlineUs":3000000,"effect":"repeatable","streamed":true}]}}`

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
	if o.ReplicaConnReuseDelay < 10*time.Millisecond || o.ReplicaConnReuseDelay > 100*time.Millisecond { // second answers come some milliseconds late
		t.Errorf("connections rest for %v", o.ReplicaConnReuseDelay)
	}
	if o.ReplicaConnIdle >= 60*time.Second || o.ConnectTimeout != 50*time.Millisecond || o.WatchWait > 10*time.Second {
		t.Errorf("idle %v, connect %v, watch %v", o.ReplicaConnIdle, o.ConnectTimeout, o.WatchWait)
	}
	// The registry has calls wait for two seconds; who leaves sooner has no answer,
	// and who asks for longer than the rules let it be silent counts as told.
	if o.DiscoveryTimeout <= 2*time.Second || o.WatchWait+o.DiscoveryTimeout > o.PollWithin {
		t.Errorf("calls end after %v, watches after %v, asked within %v", o.DiscoveryTimeout, o.WatchWait, o.PollWithin)
	}
	if !o.Settings.RetryAfter || !o.Settings.PollDiscovery || o.Settings.MayGossip || len(o.CachedList.Endpoints) != 1 || o.CachedList.Generation != 0 {
		t.Errorf("%+v", o)
	}
	want := balancer.Class{Name: "chat", LatencyObjective: 1e6, Deadline: 3e6, Streaming: true}
	if diff := cmp.Diff(want, o.Settings.Classes[0]); diff != "" {
		t.Error(diff)
	}
}

// All sockets together stay under the limit, the smallest one too: a fixed
// number of spare ones once made 156 of 128.
func TestSocketsAddUp(t *testing.T) {
	for _, most := range []int{64, 128, 1024} {
		c, err := loadText(t, strings.Replace(validConfig, `"sockets":1024`, fmt.Sprintf(`"sockets":%d`, most), 1), nil)
		if err != nil {
			t.Fatal(err)
		}
		o := c.Gateway
		if sum := o.MaxClientConns + o.OverflowConns + o.MaxReplicaConns; sum > most-16 || o.OverflowConns < 1 || o.MaxReplicaConns < o.MaxClientConns {
			t.Errorf("of %d: clients %d, spare %d, workers %d", most, o.MaxClientConns, o.OverflowConns, o.MaxReplicaConns)
		}
	}
}

// Each message names the key at fault.
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

// An odd entry of the list as last held keeps no gateway from starting: it is told, and the others serve.
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

// Operators' address is the environment's before the file's, and takes descriptors of its own.
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

// On a reload the file's registry counts: NODE_DISCOVERY still names the one
// that was left. A bad file is told by its key and used for nothing.
func TestReload(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	env := func(key string) string {
		return map[string]string{"NODE_CONFIG": path, "NODE_DISCOVERY": "127.0.0.1:8500"}[key]
	}
	write := func(old, new string) {
		if err := os.WriteFile(path, []byte(strings.Replace(validConfig, old, new, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("", "")
	c, err := Load(env)
	if err != nil {
		t.Fatal(err)
	}
	write("127.0.0.1:8500", "127.0.0.1:8600")
	next, err := Reload(env)
	if err != nil || next.Gateway.Discovery != "127.0.0.1:8600" || len(c.restartKeys(next)) != 0 {
		t.Errorf("%q %v %v", next.Gateway.Discovery, c.restartKeys(next), err)
	}
	write(`"maxAttempts":3`, `"maxAttempts":2`)
	if next, err = Reload(env); err != nil || strings.Join(c.restartKeys(next), ",") != "settings" {
		t.Errorf("%v %v", c.restartKeys(next), err)
	}
	write(`"127.0.0.1:8500"`, `"nowhere"`)
	if _, err = Reload(env); err == nil || !strings.Contains(err.Error(), "discovery") {
		t.Errorf("a bad address: %v", err)
	}
}

// SIGHUP ends nothing, whatever the file holds by then, and SIGTERM just behind
// it still ends the gateway in order.
func TestHangup(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(validConfig), 0o600); err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	var text syncBuffer
	was := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&text, nil)))
	defer slog.SetDefault(was)
	ended := make(chan error, 1)
	go func() {
		ended <- Run(func(key string) string { return map[string]string{"NODE_CONFIG": path}[key] }, "")
	}()
	step := func(what, want string, signal syscall.Signal) {
		t.Helper()
		for end := time.Now().Add(10 * time.Second); !strings.Contains(text.String(), want); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s: no %q in the log:\n%s", what, want, text.String())
			}
		}
		if err := syscall.Kill(os.Getpid(), signal); err != nil {
			t.Fatal(err)
		}
	}
	step("start", "msg=start", syscall.SIGHUP)
	step("reload", "msg=reload discovery=127.0.0.1:8500", syscall.SIGHUP)
	if err := os.WriteFile(path, []byte(`{"name":`), 0o600); err != nil {
		t.Fatal(err)
	}
	step("bad file", "msg=reload", syscall.SIGHUP)
	step("bad file", "msg=reload_failed", syscall.SIGHUP)
	if err := os.WriteFile(path, []byte(strings.Replace(validConfig, "127.0.0.1:8500", l.Addr().String(), 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	step("move", "msg=reload_failed", syscall.SIGHUP)
	step("moved", "msg=discovery_moved from=127.0.0.1:8500 to="+l.Addr().String(), syscall.SIGHUP)
	step("end", "msg=discovery_moved", syscall.SIGTERM)
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// Recording is switched on, and off, by SIGHUP; a bad file of settings changes
// nothing; SIGTERM leaves the capture whole.
func TestCaptureOnSIGHUP(t *testing.T) {
	dir := t.TempDir()
	path, file := filepath.Join(dir, "config.json"), filepath.Join(dir, "archknot.conf")
	put := func(path, text string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	put(path, validConfig)
	put(file, "[log]\nlevel info\n")
	var text syncBuffer
	was := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&text, nil)))
	defer slog.SetDefault(was)
	ended := make(chan error, 1)
	go func() {
		ended <- Run(func(key string) string { return map[string]string{"NODE_CONFIG": path}[key] }, file)
	}()
	wait := func(what string, done func() bool) {
		t.Helper()
		for end := time.Now().Add(10 * time.Second); !done(); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s: not in time:\n%s", what, text.String())
			}
		}
	}
	said := func(n int, what string) func() bool {
		return func() bool { return strings.Count(text.String(), what) >= n }
	}
	hup := func() {
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	segments := func() []string {
		found, _ := filepath.Glob(filepath.Join(dir, "cap", "*.akcap"))
		return found
	}
	wait("start", said(1, "msg=start"))
	socket := filepath.Join(dir, "c.sock")
	put(file, "[capture]\nrecord on\ndirectory "+filepath.Join(dir, "cap")+"\nflush 10ms\n[control]\nsocket "+socket+"\n")
	hup()
	wait("recording", func() bool { return len(segments()) == 1 })
	wait("the socket for orders", func() bool { // it listens later in the same reload
		c, err := net.Dial("unix", socket)
		if err == nil {
			c.Close()
		}
		return err == nil
	})
	var a SaveResponse
	if err := controlsocket.Call(t.Context(), socket, "capture/save", SaveRequest{Reason: "a test"}, &a); err != nil || a.Segments != 1 {
		t.Errorf("saved %+v, %v", a, err)
	}
	put(file, "[capture]\nrecrod off\n")
	hup()
	wait("a bad file", said(1, "archknot.conf:2:1: capture.recrod"))
	put(file, "[capture]\nrecord on\ndirectory "+filepath.Join(dir, "cap")+"\ncheckpoint 2s\n")
	hup()
	wait("another recording", func() bool { return len(segments()) == 3 })
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
	runs, err := capture.FindRuns(filepath.Join(dir, "cap"))
	if err != nil || len(runs) != 2 {
		t.Fatal(len(runs), err)
	}
	for _, r := range runs {
		res, err := replay.Replay(r, replay.Options{})
		if err != nil || res.Differing != 0 || res.Gaps != 0 || res.Checkpoints == 0 || !r.Segments[len(r.Segments)-1].Closed {
			t.Errorf("%+v %v", res, err)
		}
	}
}

// syncBuffer is a buffer for several tasks.
type syncBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// A setting that would change decisions unseen stops the start, and the error
// tells the file, the line and the column of its value, and the key.
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
		value, _, _ := strings.Cut(c.key[strings.LastIndex(c.key, ".")+1:], "[") // the last name
		line, col, ok := locate([]byte(text), c.key)
		if !ok {
			t.Fatalf("%s: not found in the text", c.key)
		}
		lines := strings.Split(text, "\n")
		before := lines[line-1][:col-1]
		if !strings.HasSuffix(strings.TrimRight(before, ": "), `"`+value+`"`) {
			t.Errorf("%s: %d:%d points behind %q", c.key, line, col, before)
		}
		want := fmt.Sprintf("config.json:%d:%d: %s: ", line, col, c.key)
		if !strings.Contains(err.Error(), want) {
			t.Errorf("%s: got %q, want it to hold %q", c.key, err, want)
		}
	}
}

func TestLocate(t *testing.T) {
	text := "{\"a\": {\"b\": [1, {\"c\": 2}],\n \"d\": \"x\"},\n \"e\": [[3], [4, 5]]}"
	for key, want := range map[string][2]int{"a": {1, 7}, "a.b[1].c": {1, 23}, "a.d": {2, 7}, "e[1][1]": {3, 17}} {
		line, col, ok := locate([]byte(text), key)
		if !ok || line != want[0] || col != want[1] {
			t.Errorf("%s: %d:%d %v, want %v", key, line, col, ok, want)
		}
	}
	for _, key := range []string{"b", "a.b[2]", "a.d.x", "e[x]"} {
		if _, _, ok := locate([]byte(text), key); ok {
			t.Errorf("%s: found", key)
		}
	}
}

// Where the platform holds the clients' socket and hands it on as a descriptor, the
// gateway accepts on it: binding the address itself fails, for it is in use.
func TestInheritedListener(t *testing.T) {
	held, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer held.Close()
	f, err := held.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	c, err := loadText(t, strings.Replace(validConfig, `"listen":"127.0.0.1:0"`, `"listen":"`+held.Addr().String()+`"`, 1),
		map[string]string{"NODE_SOCKET_FD": fmt.Sprint(f.Fd())})
	if err != nil {
		t.Fatal(err)
	}
	l, err := openListener(c)
	if err != nil {
		t.Fatalf("the handed socket was not taken: %v", err)
	}
	defer l.Close()
	go func() {
		if conn, err := net.Dial("tcp", held.Addr().String()); err == nil {
			conn.Close()
		}
	}()
	conn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	conn.Close()
	for _, bad := range []string{"x", "2", "-1"} {
		if _, err := loadText(t, validConfig, map[string]string{"NODE_SOCKET_FD": bad}); err == nil || !strings.Contains(err.Error(), "NODE_SOCKET_FD") {
			t.Errorf("%q: got %v", bad, err)
		}
	}
}
