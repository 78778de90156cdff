package contractsim

import "time"

// Result is the outcome of a simulation.
type Result struct {
	Gateway string       `json:"gateway"`
	From    time.Time    `json:"from"`
	To      time.Time    `json:"to"`
	Teams   []TeamResult `json:"teams"` // in the order of the contracts, then requests without a contract
	Notices []Notice     `json:"notices"`
	Gaps    int64        `json:"gaps"` // in the recording: requests in them are not counted
}

// TeamResult is what became of one team's requests. Tokens are at price 1.
type TeamResult struct {
	Team                  string           `json:"team"` // "": requests without a contract
	Requests              int64            `json:"requests"`
	Admitted              int64            `json:"taken"`          // with full priority weight
	OverQuota             int64            `json:"over"`           // beyond the rate, with a smaller weight
	Rejected              map[string]int64 `json:"refused"`        // by reason
	ExtraAttempts         int64            `json:"copies"`         // retries and hedges that were charged
	ExtraAttemptsRejected int64            `json:"copies_refused"` // retries and hedges that the contract rejected
	Served                int64            `json:"served"`         // in the recording
	ServedThoughRejected  int64            `json:"served_refused"` // served in the recording, rejected by the contract
	Requested             float64          `json:"asked_tokens"`
	Used                  float64          `json:"used_tokens"`
	Borrowed              float64          `json:"borrowed_tokens"`
	RateShare             float64          `json:"used_of_rate"` // what was used, as a fraction of what the rate earned
	Series                []SeriesPoint    `json:"series"`
}

// SeriesPoint is the estimated traffic of one team in a part of the recording.
type SeriesPoint struct {
	At         time.Time `json:"at"`
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
