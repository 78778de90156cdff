// Package trial tells what contracts would have done to a capture: it has a book
// judge the requests of a recording as they came, and settles them as they ended.
// What the decision module did with them stays as it was recorded.
package contractsim

import (
	"cmp"
	"errors"
	"io"
	"slices"
	"time"

	"archknot/balancer"
	"archknot/internal/capture"
	pb "archknot/internal/capture/capturepb"
	"archknot/internal/contract"
)

// Options of a trial.
type Options struct {
	Settings     contract.Settings
	Terms        []contract.Terms
	From, To     balancer.Micros // on the recording's clock; 0: its ends
	SeriesPoints int             // of the series; 0: 120
	Progress     func(at balancer.Micros)
}

// TeamResult is what became of one team's requests. Units are tokens at price 1.
type TeamResult struct {
	Team                  string           `json:"team"` // "" is whoever has no contract
	Requests              int64            `json:"requests"`
	Admitted              int64            `json:"taken"` // at full worth
	OverQuota             int64            `json:"over"`  // beyond the rate: competing with a smaller worth
	Rejected              map[string]int64 `json:"refused"`
	ExtraAttempts         int64            `json:"copies"`         // further copies that were charged
	ExtraAttemptsRejected int64            `json:"copies_refused"` // copies that the contract would not have let out
	Served                int64            `json:"served"`         // in the recording
	ServedThoughRejected  int64            `json:"served_refused"` // of those refused, served in the recording
	Requested             float64          `json:"asked_tokens"`
	Used                  float64          `json:"used_tokens"`
	Borrowed              float64          `json:"borrowed_tokens"`
	RateShare             float64          `json:"used_of_rate"` // what was used, in parts of what the rate earned
	Series                []SeriesPoint    `json:"series"`
}

// SeriesPoint is one span of the series.
type SeriesPoint struct {
	At         time.Time `json:"at"`
	FullWeight float64   `json:"full_tokens_per_s"` // asked for and taken at full worth
	OverQuota  float64   `json:"over_tokens_per_s"`
	Rejected   float64   `json:"refused_tokens_per_s"`
}

// Notice is a budget that came to a part of its limit.
type Notice struct {
	At      time.Time `json:"at"`
	Team    string    `json:"team"`
	Period  string    `json:"period"`
	Percent int       `json:"percent"`
}

// Result of a trial.
type Result struct {
	Gateway string       `json:"gateway"`
	From    time.Time    `json:"from"`
	To      time.Time    `json:"to"`
	Teams   []TeamResult `json:"teams"` // in the contracts' order, then those without
	Notices []Notice     `json:"notices"`
	Gaps    int64        `json:"gaps"` // in the recording: what came then is not counted
}

// Run plays a recording.
func Run(run *capture.Run, o Options) (*Result, error) {
	last, err := lastEventTime(run)
	if err != nil {
		return nil, err
	}
	from, to := cmp.Or(o.From, run.Begin()), cmp.Or(o.To, last)
	if to <= from {
		return nil, errors.New("nothing lies between the ends")
	}
	r, err := capture.NewReader(run, from)
	if err != nil {
		return nil, err
	}
	defer r.Close()
	book, err := contract.NewLedger(o.Settings, o.Terms, from, run.WallTime(from).UnixMicro())
	if err != nil {
		return nil, err
	}
	p := &simulation{run: run, ledger: book, from: from, to: to, seriesPoints: cmp.Or(o.SeriesPoints, 120), output: &Result{Gateway: run.Gateway,
		From: run.WallTime(from), To: run.WallTime(to)}, teams: map[string]*TeamResult{}, openRequests: map[uint32]*openRequest{}}
	for _, t := range o.Terms {
		p.team(t.Team)
	}
	for n := 0; ; n++ {
		e, err := r.Next()
		if err == io.EOF || err == nil && e.At > to {
			break
		}
		if err != nil {
			return nil, err
		}
		if e.Missing != nil {
			p.output.Gaps++
			p.abandonOpenRequests()
			continue
		}
		if e.At < from {
			continue
		}
		if p.apply(e.At, e.Record); n%4096 == 0 && o.Progress != nil {
			o.Progress(e.At)
		}
	}
	return p.finish(o.Terms), nil
}

// lastEventTime is the time of a recording's last event: its index has those of blocks.
func lastEventTime(run *capture.Run) (last balancer.Micros, err error) {
	r, err := capture.NewReader(run, run.End())
	if err != nil {
		return 0, err
	}
	defer r.Close()
	for last = run.End(); ; {
		e, err := r.Next()
		if err == io.EOF {
			return last, nil
		}
		if err != nil {
			return 0, err
		}
		last = max(last, e.At)
	}
}

// openRequest is one in hand.
type openRequest struct {
	team          *TeamResult
	arrival       balancer.Request
	rejected      bool
	charges       map[int64]*contract.Charge // by attempt
	initialCharge contract.Charge            // until the first attempt has it
	attempts      int64
}

type simulation struct {
	run          *capture.Run
	ledger       *contract.Ledger
	from, to     balancer.Micros
	seriesPoints int
	output       *Result
	teams        map[string]*TeamResult
	order        []*TeamResult
	openRequests map[uint32]*openRequest
}

func (p *simulation) team(name string) *TeamResult {
	t := p.teams[name]
	if t == nil {
		t = &TeamResult{Team: name, Rejected: map[string]int64{}, Series: make([]SeriesPoint, p.seriesPoints)}
		span := float64(p.to-p.from) / float64(p.seriesPoints)
		for i := range t.Series {
			t.Series[i].At = p.run.WallTime(p.from + balancer.Micros(span*float64(i)))
		}
		p.teams[name] = t
		p.order = append(p.order, t)
	}
	return t
}

// abandonOpenRequests forgets what was in hand: how it ended is not known. It keeps its estimates.
func (p *simulation) abandonOpenRequests() {
	for id, q := range p.openRequests {
		p.ledger.Settle(0, &q.initialCharge, q.initialCharge.Estimate, false)
		for _, c := range q.charges {
			p.ledger.Settle(0, c, c.Estimate, false)
		}
		delete(p.openRequests, id)
	}
}

func (p *simulation) apply(at balancer.Micros, rec *pb.Record) {
	switch rec.Kind {
	case pb.Kind_KIND_ARRIVED:
		p.arrived(at, rec)
	case pb.Kind_KIND_ENDED:
		p.ended(at, rec)
	case pb.Kind_KIND_LEFT:
		if q := p.openRequests[rec.Request]; q != nil && q.attempts == 0 {
			p.ledger.Settle(at, &q.initialCharge, contract.Usage{}, false)
			delete(p.openRequests, rec.Request)
		}
	}
	for _, a := range rec.Actions {
		q := p.openRequests[a.Request]
		if q == nil {
			continue
		}
		switch a.Kind {
		case pb.Action_DISPATCH:
			p.dispatched(at, q)
		case pb.Action_REFUSE, pb.Action_FAIL:
			p.ledger.Settle(at, &q.initialCharge, contract.Usage{}, false)
			if len(q.charges) == 0 {
				delete(p.openRequests, a.Request)
			}
		}
	}
	for _, n := range p.ledger.TakeNotices() {
		p.output.Notices = append(p.output.Notices, Notice{p.run.WallTime(at), n.Team, n.Period.String(), n.Percent})
	}
}

func (p *simulation) arrived(at balancer.Micros, rec *pb.Record) {
	a := rec.Arrival
	q := &openRequest{arrival: balancer.Request{Class: string(a.GetClass()), Tenant: string(a.GetTenant()), PromptTokens: int(a.GetPromptTokens()),
		MaxTokens: int(a.GetMaxTokens())}, charges: map[int64]*contract.Charge{}}
	u := p.ledger.Estimate(q.arrival.Class, q.arrival.PromptTokens, q.arrival.MaxTokens)
	v := p.ledger.Charge(at, q.arrival.Tenant, q.arrival.Class, u, &q.initialCharge)
	name, _ := p.ledger.Team(q.arrival.Tenant, q.arrival.Class)
	q.team = p.team(name)
	q.team.Requests++
	cost := float64(u.PromptTokens + u.OutputTokens)
	i := int(int64(p.seriesPoints) * (at - p.from) / (p.to - p.from))
	point := &q.team.Series[min(max(0, i), p.seriesPoints-1)]
	perS := cost * float64(p.seriesPoints) / (float64(p.to-p.from) / 1e6)
	switch {
	case v.Rejected:
		q.team.Rejected[v.Reason]++
		q.rejected = true
		point.Rejected += perS
	case v.OverQuota || name == "":
		q.team.OverQuota++
		point.OverQuota += perS
	default:
		q.team.Admitted++
		point.FullWeight += perS
	}
	p.openRequests[rec.Request] = q
}

// dispatched charges a further copy to whom it is sent for.
func (p *simulation) dispatched(at balancer.Micros, q *openRequest) {
	n := q.attempts
	q.attempts++
	if q.rejected {
		return
	}
	if n == 0 {
		c := q.initialCharge
		q.initialCharge = contract.Charge{}
		q.charges[0] = &c
		return
	}
	c := &contract.Charge{}
	u := p.ledger.Estimate(q.arrival.Class, q.arrival.PromptTokens, q.arrival.MaxTokens)
	if v := p.ledger.Charge(at, q.arrival.Tenant, q.arrival.Class, u, c); v.Rejected {
		q.team.ExtraAttemptsRejected++
		return
	}
	q.team.ExtraAttempts++
	q.charges[n] = c
}

func (p *simulation) ended(at balancer.Micros, rec *pb.Record) {
	q := p.openRequests[rec.Request]
	if q == nil {
		return
	}
	o := rec.Outcome
	status := balancer.Status(o.GetStatus())
	if status == balancer.Served {
		q.team.Served++
		if q.rejected {
			q.team.ServedThoughRejected++
		}
	}
	if c := q.charges[o.GetAttempt()]; c != nil {
		used := c.ActualUsage(status, q.arrival.PromptTokens, int(o.GetKept()), int(o.GetTokens()))
		p.ledger.Settle(at, c, used, status == balancer.Served)
		delete(q.charges, o.GetAttempt())
	}
	if o.GetFinal() && len(q.charges) == 0 {
		delete(p.openRequests, rec.Request)
	}
}

func (p *simulation) finish(terms []contract.Terms) *Result {
	seconds := float64(p.to-p.from) / 1e6
	token := float64(contract.Token)
	for i, a := range p.ledger.Accounts() {
		t := p.teams[a.Team]
		c := &a.Counters
		t.Requested, t.Used, t.Borrowed = float64(c.RequestedUnits())/token, float64(c.Used)/token, float64(c.Borrowed)/token
		t.RateShare = float64(c.Used) / (terms[i].Rate * seconds)
	}
	for _, t := range p.order {
		p.output.Teams = append(p.output.Teams, *t)
	}
	slices.SortStableFunc(p.output.Teams, func(a, b TeamResult) int {
		if (a.Team == "") != (b.Team == "") { // whoever has none comes last
			return cmp.Compare(b.Team, a.Team)
		}
		return 0
	})
	return p.output
}
