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

// A command's response or error reaches the caller; the socket has mode 0600 and is not taken from a
// server that uses it.
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
		t.Fatalf("%v %v", info.Mode(), err)
	}
	var got map[string]string
	if err := Call(t.Context(), path, "echo", map[string]string{"a": "b"}, &got); err != nil || got["a"] != "b" {
		t.Errorf("%v %v", got, err)
	}
	var commandError CommandError
	if err := Call(t.Context(), path, "reject", 1, &got); !errors.As(err, &commandError) || commandError != "not now" {
		t.Errorf("%v", err)
	}
	if err := Call(t.Context(), path, "nothing", 1, &got); !errors.As(err, &commandError) {
		t.Errorf("%v", err)
	}
	if err := Call(t.Context(), path, "echo", strings.Repeat("x", maxRequestBytes), &got); !errors.As(err, &commandError) || !strings.Contains(err.Error(), "too large") {
		t.Errorf("a large request: %v", err)
	}
	if _, err := Listen(path, nil); err == nil || !strings.Contains(err.Error(), "another gateway") {
		t.Errorf("a socket in use: %v", err)
	}
	s.Close()
	if err := Call(t.Context(), path, "echo", 1, &got); err == nil || errors.As(err, &commandError) {
		t.Errorf("after Close: %v", err)
	}
}

// A gateway that was killed leaves its socket behind. The next one replaces it, but no file of another kind.
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
		t.Error("a file was replaced")
	}
}
