package lifecycle

import (
	"net"
	"strings"
	"syscall"
	"testing"

	"archknot/internal/capture"
	"archknot/internal/controlsocket"
	"archknot/internal/replay"
)

// SIGHUP never ends the process, even if the file has become invalid, and SIGTERM right after a SIGHUP still
// drains the gateway.
func TestHangup(t *testing.T) {
	h := newRunHarness(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	step := func(what, logText string, sig syscall.Signal) {
		t.Helper()
		h.waitUntil(what+": "+logText+" in the log", h.logHas(logText))
		h.signal(sig)
	}
	h.start("")
	step("start", "msg=start", syscall.SIGHUP)
	step("reload", "msg=reload discovery=127.0.0.1:8500", syscall.SIGHUP)
	h.write(h.configPath, `{"name":`)
	step("invalid file", "msg=reload", syscall.SIGHUP)
	step("invalid file", "msg=reload_failed", syscall.SIGHUP)
	h.write(h.configPath, strings.Replace(validConfig, "127.0.0.1:8500", l.Addr().String(), 1))
	step("move", "msg=reload_failed", syscall.SIGHUP)
	step("moved", "msg=discovery_moved from=127.0.0.1:8500 to="+l.Addr().String(), syscall.SIGHUP)
	h.waitUntil("the move is logged", h.logHas("msg=discovery_moved"))
	h.terminate()
}

// SIGHUP switches the capture on and changes its settings; an invalid settings file changes nothing;
// SIGTERM leaves the capture complete.
func TestCaptureOnSIGHUP(t *testing.T) {
	h := newRunHarness(t)
	settingsFile, captures, socket := h.path("archknot.conf"), h.path("cap"), h.path("c.sock")
	h.write(settingsFile, "[log]\nlevel info\n")
	h.start(settingsFile)
	h.waitUntil("start", h.logHas("msg=start"))
	h.write(settingsFile, "[capture]\nrecord on\ndirectory "+captures+"\nflush 10ms\n[control]\nsocket "+socket+"\n")
	h.signal(syscall.SIGHUP)
	h.waitUntil("a capture", func() bool { return len(h.segments(captures)) == 1 })
	h.waitUntil("the control socket", func() bool { // the same reload opens it later
		c, err := net.Dial("unix", socket)
		if err == nil {
			c.Close()
		}
		return err == nil
	})
	var saved SaveCaptureResponse
	if err := controlsocket.Call(t.Context(), socket, "capture/save", SaveCaptureRequest{Reason: "a test"}, &saved); err != nil || saved.Segments != 1 {
		t.Errorf("saved %+v, %v", saved, err)
	}
	h.write(settingsFile, "[capture]\nrecrod off\n")
	h.signal(syscall.SIGHUP)
	h.waitUntil("an invalid file", h.logHas("archknot.conf:2:1: capture.recrod"))
	h.write(settingsFile, "[capture]\nrecord on\ndirectory "+captures+"\ncheckpoint 2s\n")
	h.signal(syscall.SIGHUP)
	h.waitUntil("another capture", func() bool { return len(h.segments(captures)) == 3 })
	h.terminate()
	runs, err := capture.FindRuns(captures)
	if err != nil || len(runs) != 2 {
		t.Fatal(len(runs), err)
	}
	for _, r := range runs {
		result, err := replay.Replay(r, replay.Options{})
		if err != nil || result.Differing != 0 || result.Gaps != 0 || result.Checkpoints == 0 || !r.Segments[len(r.Segments)-1].Closed {
			t.Errorf("%+v %v", result, err)
		}
	}
}
