// Package procstat reads what the system tells of a process (proc(5)).
package procstat

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of processor times.
const clockTick = 10 * time.Millisecond

// CPUTime is what a process has used of the processors; 0 if there is none.
func CPUTime(pid int) time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), ") ") // a program's name may have spaces
	fields := strings.Fields(rest)
	const user, system = 11, 12
	if len(fields) <= system {
		return 0
	}
	u, _ := strconv.ParseInt(fields[user], 10, 64)
	s, _ := strconv.ParseInt(fields[system], 10, 64)
	return time.Duration(u+s) * clockTick
}

// ResidentMB is a process's resident memory in megabytes; 0 if there is none.
func ResidentMB(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	const resident = 1
	if len(fields) <= resident {
		return 0
	}
	pages, _ := strconv.ParseFloat(fields[resident], 64)
	return pages * float64(os.Getpagesize()) / (1 << 20)
}
