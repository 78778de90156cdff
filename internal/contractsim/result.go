package contractsim

import "time"

// Result is the result of the simulation of one recording.
type Result struct {
	Gateway string       `json:"gateway"`
	From    time.Time    `json:"from"`
	To      time.Time    `json:"to"`
	Teams   []TeamResult `json:"teams"` // in the order of the contracts, then the requests without a contract
	Notices []Notice     `json:"notices"`
	Gaps    int64        `json:"gaps"` // number of gaps in the recording; requests within them are not counted
}

// TeamResult holds the counts of one team's requests, and its usage in tokens at price 1.
type TeamResult struct {
	Team                  string           `json:"team"` // "": requests without a contract
	Requests              int64            `json:"requests"`
	Admitted              int64            `json:"taken"`          // admitted with full priority weight
	OverQuota             int64            `json:"over"`           // admitted beyond the rate, with a smaller priority weight
	Rejected              map[string]int64 `json:"refused"`        // by the contract, by reason
	ExtraAttempts         int64            `json:"copies"`         // retries and hedges that were charged
	ExtraAttemptsRejected int64            `json:"copies_refused"` // retries and hedges that the contract rejected
	Served                int64            `json:"served"`         // answers served in the recording
	ServedThoughRejected  int64            `json:"served_refused"` // answers served in the recording to requests that the contract rejected
	Requested             float64          `json:"asked_tokens"`   // sum of estimates, of rejected requests too while the contract is in force
	Used                  float64          `json:"used_tokens"`
	Borrowed              float64          `json:"borrowed_tokens"`
	RateShare             float64          `json:"used_of_rate"` // used tokens, as a fraction of the tokens that the rate grants
	Series                []SeriesPoint    `json:"series"`
}

// SeriesPoint is the estimated traffic of one team in one interval of the recording, in
// tokens per second.
type SeriesPoint struct {
	At         time.Time `json:"at"`                // start of the interval
	FullWeight float64   `json:"full_tokens_per_s"` // admitted with full priority weight
	OverQuota  float64   `json:"over_tokens_per_s"` // admitted beyond the rate
	Rejected   float64   `json:"refused_tokens_per_s"`
}

// Notice reports that a budget reached a percentage of its limit.
type Notice struct {
	At      time.Time `json:"at"`
	Team    string    `json:"team"`
	Period  string    `json:"period"`
	Percent int       `json:"percent"`
}
