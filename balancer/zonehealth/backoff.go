package zonehealth

// Backoff bound how long a worker that failed gets nothing, in microseconds.
type Backoff struct{ Min, Max Micros }

// Delay is how long a worker rests after so many failures in a row. One that answers with
// quick errors is idle and tops any reckoning: a gateway that comes by seldom, as one of
// many, has to remember it for longer. Silence keeps nobody: it is asked again before
// anything is sent there, and what has come back is wanted soon. Many is how many
// gateways there are to those that see enough by themselves, 1 or more; by from 0 to 1
// sets gateways apart.
func (r Backoff) Delay(fails int, silent bool, many, by float64) Micros {
	first := r.Min
	if !silent {
		first = Micros(float64(r.Min) * max(1, many))
	}
	rest := min(r.Max, first<<max(0, min(fails-1, 5)))
	return Micros(float64(rest) * (0.75 + 0.5*by))
}
