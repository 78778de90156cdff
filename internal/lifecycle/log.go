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

// StartLog directs the default logger to standard error, as key=value text. Whatever becomes of the
// log's reader, the gateway keeps serving: a pipe that nobody reads blocks nothing, and one that was
// closed, or a file that must not grow, does not end the process by a signal.
func StartLog() {
	signal.Ignore(syscall.SIGPIPE, syscall.SIGXFSZ)
	logWriter = asynclog.New(os.Stderr)
	slog.SetDefault(slog.New(slog.NewTextHandler(logWriter, &slog.HandlerOptions{Level: &logLevel})))
}

// FlushLog waits until the log lines are written, for logFlushTimeout at most. StartLog must have been called.
func FlushLog() { logWriter.Flush(logFlushTimeout) }

func setLogLevel(level string) {
	_ = logLevel.UnmarshalText([]byte(level)) // cannot fail: package config and configversion have checked the level
}

// logInfo is the logger of packages that take one as an option.
func logInfo(msg string, args ...any) { slog.Info(msg, args...) }
