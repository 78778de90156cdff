package lifecycle

import (
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"archknot/internal/configversion"
	pb "archknot/internal/configversion/configpb"
	"archknot/internal/controlsocket"
	"archknot/internal/fakes/controlservice"
	"archknot/internal/xdsclient"
)

func chatVersion(n uint64, more map[configversion.ResourceType][]proto.Message) *controlservice.Version {
	v := &controlservice.Version{Number: n, Resources: map[configversion.ResourceType][]proto.Message{
		configversion.TypeClass: {&pb.Class{Name: "chat", AimUs: 1_000_000, DeadlineUs: 3_000_000, Worth: float64(n), Stream: true}}}}
	for t, m := range more {
		v.Resources[t] = m
	}
	return v
}

// A version's parts go before the files', whichever came last: SIGHUP and a
// streamed version at once. A restart begins with the version, without the
// service; a rollback gives it back.
func TestStreamedVersionAndSIGHUP(t *testing.T) {
	dir := t.TempDir()
	path, file := filepath.Join(dir, "config.json"), filepath.Join(dir, "archknot.conf")
	s, err := controlservice.Start("127.0.0.1:0", nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Stop)
	socket := filepath.Join(dir, "c.sock")
	put := func(path, text string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	settings := func(level string) string {
		return fmt.Sprintf("[log]\nlevel %s\n[control]\nsocket %s\n[capture]\ndirectory %s\n[control-service]\naddress %s\nstore %s\nbetween 10ms\n",
			level, socket, filepath.Join(dir, "cap"), s.Addr(), filepath.Join(dir, "versions"))
	}
	put(path, validConfig)
	put(file, settings("info"))
	was := slog.Default()
	defer slog.SetDefault(was)
	defer setLogLevel("info")
	var text *syncBuffer
	ended := make(chan error, 1)
	run := func() {
		text = &syncBuffer{}
		slog.SetDefault(slog.New(slog.NewTextHandler(text, nil)))
		go func() {
			ended <- Run(func(key string) string { return map[string]string{"NODE_CONFIG": path}[key] }, file)
		}()
	}
	wait := func(what string, done func() bool) {
		t.Helper()
		for end := time.Now().Add(10 * time.Second); !done(); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s: not in time:\n%s", what, text.String())
			}
		}
	}
	status := func() (st ConfigStatus) {
		_ = controlsocket.Call(t.Context(), socket, "config/status", struct{}{}, &st)
		return st
	}
	on := func(n uint64) func() bool { return func() bool { return status().Version == n } }
	signal := func(sig syscall.Signal) {
		if err := syscall.Kill(os.Getpid(), sig); err != nil {
			t.Fatal(err)
		}
	}
	segments := func() int {
		found, _ := filepath.Glob(filepath.Join(dir, "cap", "*.akcap"))
		return len(found)
	}
	run()
	wait("the stream", func() bool { return status().Connected })
	s.Publish(chatVersion(1, map[configversion.ResourceType][]proto.Message{configversion.TypeLog: {&pb.Log{Level: "warn"}},
		configversion.TypeCapture: {&pb.Capture{Record: true, CheckpointUs: 2_000_000, KeepBytes: 1 << 20}}}))
	wait("version 1", on(1))
	wait("the version records", func() bool { return segments() == 1 })
	if logLevel.Level() != slog.LevelWarn {
		t.Errorf("level %v", logLevel.Level())
	}
	// The file says otherwise, in the same moment as the next version.
	put(file, settings("error"))
	signal(syscall.SIGHUP)
	s.Publish(chatVersion(2, map[configversion.ResourceType][]proto.Message{configversion.TypeLog: {&pb.Log{Level: "debug"}}}))
	wait("version 2", on(2))
	wait("reload", func() bool { return strings.Contains(text.String(), "msg=reload ") })
	if logLevel.Level() != slog.LevelDebug {
		t.Errorf("level %v after both", logLevel.Level())
	}
	// Where the version says nothing any more, the file of now does.
	s.Publish(chatVersion(3, nil))
	wait("version 3", on(3))
	if logLevel.Level() != slog.LevelError {
		t.Errorf("level %v, the file says error", logLevel.Level())
	}
	signal(syscall.SIGTERM)
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	s.Stop()
	run()
	wait("version 3 after a restart", on(3))
	if st := status(); st.Connected || st.Classes != 1 {
		t.Errorf("%+v", st)
	}
	var st ConfigStatus
	if err := controlsocket.Call(t.Context(), socket, "config/rollback", RollbackRequest{Reason: "a test"}, &st); err != nil || st.Version != 0 {
		t.Errorf("rollback: %+v %v", st, err)
	}
	// The version is given back before the line about it is kept.
	wait("the history of it all", func() bool {
		var lines []xdsclient.HistoryEntry
		if err := controlsocket.Call(t.Context(), socket, "config/history", struct{}{}, &lines); err != nil {
			t.Fatal(err)
		}
		var what []string
		for _, l := range lines {
			what = append(what, fmt.Sprint(l.Version, l.Event))
		}
		return strings.Join(what, " ") == "1taken 2taken 3taken 3givenback"
	})
	signal(syscall.SIGTERM)
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
}
