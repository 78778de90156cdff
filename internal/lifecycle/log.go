package lifecycle

import (
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"archknot/internal/asynclog"
)

// logFlushTimeout bounds how long FlushLog waits for the log's reader.
const logFlushTimeout = 500 * time.Millisecond

var (
	logLevel  slog.LevelVar
	logWriter *asynclog.Writer // set by StartLog
)

// StartLog directs the default logger to standard error, as key=value text. The gateway keeps serving if
// the log cannot be written: a full pipe blocks no caller, and the signals for a closed pipe (SIGPIPE) and
// a file at its size limit (SIGXFSZ) do not kill the process.
func StartLog() {
	signal.Ignore(syscall.SIGPIPE, syscall.SIGXFSZ)
	logWriter = asynclog.New(os.Stderr)
	slog.SetDefault(slog.New(slog.NewTextHandler(logWriter, &slog.HandlerOptions{Level: &logLevel})))
}

// FlushLog waits until the log lines are written, at most logFlushTimeout. StartLog must be called before.
func FlushLog() { logWriter.Flush(logFlushTimeout) }

func setLogLevel(level string) {
	_ = logLevel.UnmarshalText([]byte(level)) // cannot fail: package config and configversion have checked the level
}

// logInfo is the log function for packages that take one as an option.
func logInfo(msg string, args ...any) { slog.Info(msg, args...) }
