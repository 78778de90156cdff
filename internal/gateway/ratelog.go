package gateway

import (
	"log/slog"
	"sync"
	"time"
)

// logInterval is the shortest time between two lines of a rateLimitedLog.
const logInterval = time.Second

// rateLimitedLog writes log lines that any client can cause, at most one per
// logInterval. Each line carries the number of lines suppressed before it. The zero
// value is ready for use; any goroutine may call it.
type rateLimitedLog struct {
	mu         sync.Mutex
	lastLine   time.Time
	suppressed int
}

func (l *rateLimitedLog) log(msg string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if now.Sub(l.lastLine) < logInterval {
		l.suppressed++
		return
	}
	l.lastLine = now
	slog.Info(msg, append(args, "suppressed", l.suppressed)...)
	l.suppressed = 0
}
