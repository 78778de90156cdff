package lifecycle

import (
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// runHarness runs a gateway in the test's process, with its files in a directory of the test.
type runHarness struct {
	t          *testing.T
	directory  string
	configPath string
	log        *syncBuffer // of the latest run
	runResult  chan error  // result of each Run
}

// newRunHarness writes validConfig, and restores the default logger at the end of the test.
func newRunHarness(t *testing.T) *runHarness {
	t.Helper()
	directory := t.TempDir()
	h := &runHarness{t: t, directory: directory, configPath: filepath.Join(directory, "config.json"), runResult: make(chan error, 1)}
	h.write(h.configPath, validConfig)
	defaultLogger := slog.Default()
	t.Cleanup(func() { slog.SetDefault(defaultLogger) })
	return h
}

func (h *runHarness) write(path, text string) {
	h.t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		h.t.Fatal(err)
	}
}

// path returns the path of a file in the test's directory.
func (h *runHarness) path(name string) string { return filepath.Join(h.directory, name) }

// start begins a run with a new log.
func (h *runHarness) start(settingsFile string) {
	h.log = &syncBuffer{}
	slog.SetDefault(slog.New(slog.NewTextHandler(h.log, nil)))
	getenv := func(key string) string {
		return map[string]string{"NODE_CONFIG": h.configPath}[key]
	}
	go func() { h.runResult <- Run(getenv, settingsFile) }()
}

// waitUntil waits for a condition. The failure message describes it by what.
func (h *runHarness) waitUntil(what string, condition func() bool) {
	h.t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			h.t.Fatalf("%s: not in time:\n%s", what, h.log.String())
		}
	}
}

// logHas returns the condition that the log has a text.
func (h *runHarness) logHas(text string) func() bool {
	return func() bool { return strings.Contains(h.log.String(), text) }
}

// signal sends a signal to the test's process.
func (h *runHarness) signal(sig syscall.Signal) {
	h.t.Helper()
	if err := syscall.Kill(os.Getpid(), sig); err != nil {
		h.t.Fatal(err)
	}
}

// terminate ends the run with SIGTERM, and fails the test if Run returns an error.
func (h *runHarness) terminate() {
	h.t.Helper()
	h.signal(syscall.SIGTERM)
	if err := <-h.runResult; err != nil {
		h.t.Fatal(err)
	}
}

// segments returns the paths of the capture's segments below a directory.
func (h *runHarness) segments(directory string) []string {
	found, _ := filepath.Glob(filepath.Join(directory, "*.akcap"))
	return found
}

// syncBuffer is a buffer for several goroutines.
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
