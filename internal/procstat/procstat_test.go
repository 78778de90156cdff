package procstat

import (
	"os"
	"testing"
	"time"
)

// The test's own process has memory and its CPU time grows with its work; for a process that does not exist
// both are 0.
func TestOwnProcess(t *testing.T) {
	pid := os.Getpid()
	if mb := ResidentMB(pid); mb < 1 || mb > 10_000 {
		t.Errorf("resident memory %v MB, want 1 to 10000 MB", mb)
	}
	sum := 0
	for begun := time.Now(); CPUTime(pid) < 30*time.Millisecond && time.Since(begun) < 5*time.Second; {
		for i := range 1_000_000 {
			sum += i
		}
	}
	if used := CPUTime(pid); used < 30*time.Millisecond || used > time.Hour {
		t.Errorf("CPU time %v, want 30 ms to 1 h (busy loop result %d)", used, sum)
	}
	if ResidentMB(-1) != 0 || CPUTime(-1) != 0 {
		t.Error("resident memory or CPU time of a process that does not exist is not 0")
	}
}
