package contract

import (
	"time"

	"archknot/balancer"
)

// Period is the kind of a budget's calendar period: hour, day or quarter.
type Period uint8

// The kinds of periods. Their numbers are used in stored data.
const (
	Hour Period = iota
	Day
	Quarter // quarters begin in January, April, July and October, as for the Australian business activity statement

	periodCount = 3
)

const monthsPerQuarter = 3

// String returns the period's name in the settings; an unknown kind has that of Quarter.
func (p Period) String() string { return [...]string{"hour", "day", "quarter"}[min(p, Quarter)] }

// Bounds returns the start and the end, in Unix time, of the period that contains a Unix
// time. Days and quarters follow the calendar of the location: a day with a change to or
// from daylight saving time has 23 or 25 hours. Hours are hours of Unix time, so that the
// hour that is repeated at the end of daylight saving time counts as two.
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

// floorMod returns the remainder of a division rounded down: 0 or more for b above 0.
func floorMod(a, b int64) int64 { return ((a % b) + b) % b }
