// Package procstat reads the kernel's statistics of a process (proc(5)).
package procstat

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of CPU times in /proc/PID/stat (USER_HZ is 100 on Linux).
const clockTick = 10 * time.Millisecond

const (
	// statUserTimeField is the index of the user time in /proc/PID/stat, among the fields after the program's
	// name.
	statUserTimeField = 11
	// statSystemTimeField is the index of the system time, likewise.
	statSystemTimeField = 12
	// statmResidentField is the index of the number of resident pages in /proc/PID/statm.
	statmResidentField = 1
)

// CPUTime returns the user and system CPU time of a process, 0 if there is no such process.
func CPUTime(pid int) time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	_, afterName, _ := strings.Cut(string(text), ") ") // skips the program's name, which may contain spaces
	fields := strings.Fields(afterName)
	if len(fields) <= statSystemTimeField {
		return 0
	}
	userTicks, _ := strconv.ParseInt(fields[statUserTimeField], 10, 64)
	systemTicks, _ := strconv.ParseInt(fields[statSystemTimeField], 10, 64)
	return time.Duration(userTicks+systemTicks) * clockTick
}

// ResidentMB returns the resident memory of a process in units of 2^20 bytes, 0 if there is no such process.
func ResidentMB(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) <= statmResidentField {
		return 0
	}
	pages, _ := strconv.ParseFloat(fields[statmResidentField], 64)
	return pages * float64(os.Getpagesize()) / (1 << 20)
}
