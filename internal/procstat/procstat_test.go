package procstat

import (
	"os"
	"testing"
	"time"
)

// A process has memory, and its CPU time grows with its work; a process that does not exist has neither.
func TestOwnProcess(t *testing.T) {
	pid := os.Getpid()
	if mb := ResidentMB(pid); mb < 1 || mb > 10_000 {
		t.Errorf("resident %v MB", mb)
	}
	sum := 0
	for begun := time.Now(); CPUTime(pid) < 30*time.Millisecond && time.Since(begun) < 5*time.Second; {
		for i := range 1_000_000 {
			sum += i
		}
	}
	if used := CPUTime(pid); used < 30*time.Millisecond || used > time.Hour {
		t.Errorf("used %v (%d)", used, sum)
	}
	if ResidentMB(-1) != 0 || CPUTime(-1) != 0 {
		t.Error("a process that does not exist has used something")
	}
}
