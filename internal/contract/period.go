package contract

import (
	"time"

	"archknot/balancer"
)

// Period is the kind of a budget's calendar period.
type Period uint8

// The kinds of periods. Their numbers are stored.
const (
	Hour Period = iota
	Day
	Quarter // of the Australian business activity statement: July, October, January, April

	periodCount = 3
)

// monthsPerQuarter is the length of a Quarter.
const monthsPerQuarter = 3

// String returns a period's name in the settings.
func (p Period) String() string { return [...]string{"hour", "day", "quarter"}[min(p, Quarter)] }

// Bounds returns the start and the end, in Unix time, of the period that a moment
// lies in. Days and quarters are the calendar's in the location: a day on which the
// clock changes has 23 or 25 hours. Hours are of elapsed time: an hour that the
// clock shows twice is two.
func (p Period) Bounds(unix balancer.Micros, location *time.Location) (start, end balancer.Micros) {
	if p == Hour {
		start = unix - floorMod(unix, time.Hour.Microseconds())
		return start, start + time.Hour.Microseconds()
	}
	year, month, day := time.UnixMicro(unix).In(location).Date()
	midnight := func(month time.Month, day int) balancer.Micros {
		return time.Date(year, month, day, 0, 0, 0, 0, location).UnixMicro()
	}
	if p == Day {
		return midnight(month, day), midnight(month, day+1)
	}
	first := (month-1)/monthsPerQuarter*monthsPerQuarter + 1
	return midnight(first, 1), midnight(first+monthsPerQuarter, 1)
}

// floorMod is the remainder of a division that rounds down.
func floorMod(a, b int64) int64 { return ((a % b) + b) % b }
