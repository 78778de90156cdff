package lifecycle

import (
	"fmt"
	"log/slog"
	"strings"
	"syscall"
	"testing"

	"google.golang.org/protobuf/proto"

	"archknot/internal/configversion"
	pb "archknot/internal/configversion/configpb"
	"archknot/internal/controlsocket"
	"archknot/internal/fakes/controlservice"
	"archknot/internal/xdsclient"
)

// chatVersion returns a version with one request class and extra resources.
func chatVersion(n uint64, extra map[configversion.ResourceType][]proto.Message) *controlservice.Version {
	v := &controlservice.Version{Number: n, Resources: map[configversion.ResourceType][]proto.Message{
		configversion.TypeClass: {&pb.Class{Name: "chat", AimUs: 1_000_000, DeadlineUs: 3_000_000, Worth: float64(n), Stream: true}}}}
	for t, m := range extra {
		v.Resources[t] = m
	}
	return v
}

// A streamed version takes precedence over the settings file, even if the file is newer or SIGHUP and a
// version arrive together. After a restart the stored version is in force without the control service. A
// rollback ends it.
func TestStreamedVersionAndSIGHUP(t *testing.T) {
	h := newRunHarness(t)
	service, err := controlservice.Start("127.0.0.1:0", nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(service.Stop)
	settingsFile, captures, socket := h.path("archknot.conf"), h.path("cap"), h.path("c.sock")
	settings := func(level string) string {
		return fmt.Sprintf("[log]\nlevel %s\n[control]\nsocket %s\n[capture]\ndirectory %s\n[control-service]\naddress %s\nstore %s\nbetween 10ms\n",
			level, socket, captures, service.Addr(), h.path("versions"))
	}
	h.write(settingsFile, settings("info"))
	defer setLogLevel("info")
	status := func() (st ConfigStatus) {
		_ = controlsocket.Call(t.Context(), socket, "config/status", struct{}{}, &st)
		return st
	}
	hasVersion := func(n uint64) func() bool { return func() bool { return status().Version == n } }
	h.start(settingsFile)
	h.waitUntil("the stream", func() bool { return status().Connected })
	service.Publish(chatVersion(1, map[configversion.ResourceType][]proto.Message{configversion.TypeLog: {&pb.Log{Level: "warn"}},
		configversion.TypeCapture: {&pb.Capture{Record: true, CheckpointUs: 2_000_000, KeepBytes: 1 << 20}}}))
	h.waitUntil("version 1", hasVersion(1))
	h.waitUntil("the version's capture", func() bool { return len(h.segments(captures)) == 1 })
	if logLevel.Level() != slog.LevelWarn {
		t.Errorf("level %v", logLevel.Level())
	}
	// The file differs from the next version, and both arrive together.
	h.write(settingsFile, settings("error"))
	h.signal(syscall.SIGHUP)
	service.Publish(chatVersion(2, map[configversion.ResourceType][]proto.Message{configversion.TypeLog: {&pb.Log{Level: "debug"}}}))
	h.waitUntil("version 2", hasVersion(2))
	h.waitUntil("reload", h.logHas("msg=reload "))
	if logLevel.Level() != slog.LevelDebug {
		t.Errorf("level %v after both", logLevel.Level())
	}
	// A setting that the version no longer has is taken from the current file.
	service.Publish(chatVersion(3, nil))
	h.waitUntil("version 3", hasVersion(3))
	if logLevel.Level() != slog.LevelError {
		t.Errorf("level %v, the file has error", logLevel.Level())
	}
	h.terminate()
	service.Stop()
	h.start(settingsFile)
	h.waitUntil("version 3 after a restart", hasVersion(3))
	if st := status(); st.Connected || st.Classes != 1 {
		t.Errorf("%+v", st)
	}
	var st ConfigStatus
	if err := controlsocket.Call(t.Context(), socket, "config/rollback", RollbackRequest{Reason: "a test"}, &st); err != nil || st.Version != 0 {
		t.Errorf("rollback: %+v %v", st, err)
	}
	// The rollback is in force before its entry is stored.
	h.waitUntil("the complete history", func() bool {
		var entries []xdsclient.HistoryEntry
		if err := controlsocket.Call(t.Context(), socket, "config/history", struct{}{}, &entries); err != nil {
			t.Fatal(err)
		}
		var events []string
		for _, e := range entries {
			events = append(events, fmt.Sprint(e.Version, e.Event))
		}
		return strings.Join(events, " ") == "1taken 2taken 3taken 3givenback"
	})
	h.terminate()
}
