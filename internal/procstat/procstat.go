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

// Positions of fields, from 0: in /proc/PID/stat after the program's name, and in /proc/PID/statm.
const (
	statUserTime   = 11
	statSystemTime = 12
	statmResident  = 1
)

// CPUTime returns the CPU time that a process has used; 0 if there is no such process.
func CPUTime(pid int) time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), ") ") // the program's name may contain spaces
	fields := strings.Fields(rest)
	if len(fields) <= statSystemTime {
		return 0
	}
	userTicks, _ := strconv.ParseInt(fields[statUserTime], 10, 64)
	systemTicks, _ := strconv.ParseInt(fields[statSystemTime], 10, 64)
	return time.Duration(userTicks+systemTicks) * clockTick
}

// ResidentMB returns the resident memory of a process in units of 2^20 bytes; 0 if there is no such process.
func ResidentMB(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) <= statmResident {
		return 0
	}
	pages, _ := strconv.ParseFloat(fields[statmResident], 64)
	return pages * float64(os.Getpagesize()) / (1 << 20)
}
