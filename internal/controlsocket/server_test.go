package controlsocket

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// A command's response or error reaches the caller. The socket has mode 0600 and cannot be taken from the
// server that listens on it.
func TestCommands(t *testing.T) {
	path := filepath.Join(t.TempDir(), "c.sock")
	s, err := Listen(path, map[string]Handler{
		"echo": func(_ context.Context, request json.RawMessage) (any, error) {
			var v map[string]string
			err := json.Unmarshal(request, &v)
			return v, err
		},
		"reject": func(context.Context, json.RawMessage) (any, error) { return nil, errors.New("not now") },
	})
	if err != nil {
		t.Fatal(err)
	}
	info, err := os.Stat(path)
	if err != nil || info.Mode().Perm() != 0o600 {
		t.Fatalf("socket mode %v, want 0600: %v", info.Mode(), err)
	}
	var got map[string]string
	if err := Call(t.Context(), path, "echo", map[string]string{"a": "b"}, &got); err != nil || got["a"] != "b" {
		t.Errorf("echo: response %v, error %v", got, err)
	}
	var commandError CommandError
	if err := Call(t.Context(), path, "reject", 1, &got); !errors.As(err, &commandError) || commandError != "not now" {
		t.Errorf("rejected command: error %v", err)
	}
	if err := Call(t.Context(), path, "nothing", 1, &got); !errors.As(err, &commandError) {
		t.Errorf("unknown command: error %v", err)
	}
	if err := Call(t.Context(), path, "echo", strings.Repeat("x", maxRequestBytes), &got); !errors.As(err, &commandError) || !strings.Contains(err.Error(), "too large") {
		t.Errorf("oversized request: error %v", err)
	}
	if _, err := Listen(path, nil); err == nil || !strings.Contains(err.Error(), "another gateway") {
		t.Errorf("listen on a socket in use: error %v", err)
	}
	s.Close()
	if err := Call(t.Context(), path, "echo", 1, &got); err == nil || errors.As(err, &commandError) {
		t.Errorf("call after Close: error %v", err)
	}
}

// The stale socket of a killed gateway is replaced; a file of another type is not.
func TestStaleSocketIsReplaced(t *testing.T) {
	path := filepath.Join(t.TempDir(), "c.sock")
	l, err := net.Listen("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	l.(*net.UnixListener).SetUnlinkOnClose(false)
	l.Close()
	s, err := Listen(path, nil)
	if err != nil {
		t.Fatal(err)
	}
	s.Close()
	if err := os.WriteFile(path, []byte("x"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Listen(path, nil); err == nil {
		t.Error("Listen replaced a regular file")
	}
}
