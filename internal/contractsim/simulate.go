// Package contractsim simulates contracts on a capture. A ledger charges or rejects each
// request at its recorded arrival and settles it at its recorded end. The actions of the
// decision module stay as recorded: rejections by the simulated contracts do not change
// them.
package contractsim

import (
	"cmp"
	"errors"
	"io"
	"maps"
	"slices"

	"archknot/balancer"
	"archknot/internal/capture"
	pb "archknot/internal/capture/capturepb"
	"archknot/internal/contract"
)

// ErrEmptyInterval is returned by Run if the interval to simulate is empty, for example
// if Options.From is after the last event.
var ErrEmptyInterval = errors.New("recording has no events between the requested times")

const (
	// defaultSeriesPoints is the length of each team's series.
	defaultSeriesPoints = 120
	// eventsPerProgress is the number of events per call of Options.Progress.
	eventsPerProgress = 4096
)

// Options configures a simulation.
type Options struct {
	Settings     contract.Settings
	Terms        []contract.Terms
	From, To     balancer.Micros          // on the recording's clock; 0: its first block, its last event
	SeriesPoints int                      // length of each team's series; 0: defaultSeriesPoints
	Progress     func(at balancer.Micros) // called periodically with the time of the last event; nil: not called
}

// Run simulates contracts on a recording. The error is ErrEmptyInterval, an error of the
// contracts, or one of reading the recording.
func Run(run *capture.Run, o Options) (*Result, error) {
	last, err := lastEventTime(run)
	if err != nil {
		return nil, err
	}
	from, to := cmp.Or(o.From, run.Begin()), cmp.Or(o.To, last)
	if to <= from {
		return nil, ErrEmptyInterval
	}
	events, err := capture.NewReader(run, from)
	if err != nil {
		return nil, err
	}
	defer events.Close()
	s, err := newSimulation(run, &o, from, to)
	if err != nil {
		return nil, err
	}
	for n := 0; ; n++ {
		event, err := events.Next()
		if errors.Is(err, io.EOF) || err == nil && event.At > to {
			return s.finish(o.Terms), nil
		}
		if err != nil {
			return nil, err
		}
		if event.Missing != nil {
			s.output.Gaps++
			s.settleOpenRequests()
			continue
		}
		if event.At < from {
			continue
		}
		s.apply(event.At, event.Record)
		if n%eventsPerProgress == 0 && o.Progress != nil {
			o.Progress(event.At)
		}
	}
}

// lastEventTime returns the time of a recording's last event. It reads the last block,
// since the recording's index holds the times of blocks only.
func lastEventTime(run *capture.Run) (last balancer.Micros, err error) {
	events, err := capture.NewReader(run, run.End())
	if err != nil {
		return 0, err
	}
	defer events.Close()
	for last = run.End(); ; {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			return last, nil
		}
		if err != nil {
			return 0, err
		}
		last = max(last, event.At)
	}
}

// simulation is the state of a simulation at one time of a recording: the ledger, the
// open requests and the results so far.
type simulation struct {
	run          *capture.Run
	ledger       *contract.Ledger
	from, to     balancer.Micros
	seriesPoints int
	output       *Result
	teams        map[string]*TeamResult
	orderedTeams []*TeamResult // teams with a contract, then the others by their first request
	openRequests map[uint32]*openRequest
}

// openRequest is a request that has not ended, with its open charges.
type openRequest struct {
	team          *TeamResult
	arrival       balancer.Request
	rejected      bool
	charges       map[int64]*contract.Charge // of dispatched attempts, by attempt
	initialCharge contract.Charge            // of the request, until its first attempt is dispatched
	attempts      int64
}

// newSimulation returns a simulation before the first event.
func newSimulation(run *capture.Run, o *Options, from, to balancer.Micros) (*simulation, error) {
	ledger, err := contract.NewLedger(o.Settings, o.Terms, from, run.WallTime(from).UnixMicro())
	if err != nil {
		return nil, err
	}
	s := &simulation{
		run:          run,
		ledger:       ledger,
		from:         from,
		to:           to,
		seriesPoints: cmp.Or(o.SeriesPoints, defaultSeriesPoints),
		output:       &Result{Gateway: run.Gateway, From: run.WallTime(from), To: run.WallTime(to)},
		teams:        map[string]*TeamResult{},
		openRequests: map[uint32]*openRequest{},
	}
	for i := range o.Terms {
		s.team(o.Terms[i].Team)
	}
	return s, nil
}

// team returns the result of a team, adding an empty one if it is new.
func (s *simulation) team(name string) *TeamResult {
	if team := s.teams[name]; team != nil {
		return team
	}
	team := &TeamResult{Team: name, Rejected: map[string]int64{}, Series: make([]SeriesPoint, s.seriesPoints)}
	interval := float64(s.to-s.from) / float64(s.seriesPoints)
	for i := range team.Series {
		team.Series[i].At = s.run.WallTime(s.from + balancer.Micros(interval*float64(i)))
	}
	s.teams[name] = team
	s.orderedTeams = append(s.orderedTeams, team)
	return team
}

// settleOpenRequests settles all open requests at their estimates. It is called at a gap
// in the recording, in which the ends of these requests may be missing.
func (s *simulation) settleOpenRequests() {
	for _, id := range slices.Sorted(maps.Keys(s.openRequests)) { // sorted, so that the results are reproducible
		request := s.openRequests[id]
		s.ledger.Settle(0, &request.initialCharge, request.initialCharge.Estimate, false)
		for _, attempt := range slices.Sorted(maps.Keys(request.charges)) {
			charge := request.charges[attempt]
			s.ledger.Settle(0, charge, charge.Estimate, false)
		}
		delete(s.openRequests, id)
	}
}

// apply applies one record: its event, then the actions of the decision module.
func (s *simulation) apply(at balancer.Micros, record *pb.Record) {
	switch record.GetKind() {
	case pb.Kind_KIND_ARRIVED:
		s.applyArrival(at, record)
	case pb.Kind_KIND_ENDED:
		s.applyAttemptEnd(at, record)
	case pb.Kind_KIND_LEFT:
		s.applyClientDisconnect(at, record.GetRequest())
	}
	for _, action := range record.GetActions() {
		s.applyAction(at, action)
	}
	for _, n := range s.ledger.TakeNotices() {
		s.output.Notices = append(s.output.Notices,
			Notice{At: s.run.WallTime(at), Team: n.Team, Period: n.Period.String(), Percent: n.Percent})
	}
}

// applyAction applies one action of the decision module.
func (s *simulation) applyAction(at balancer.Micros, action *pb.Action) {
	request := s.openRequests[action.GetRequest()]
	if request == nil {
		return
	}
	switch action.GetKind() {
	case pb.Action_DISPATCH:
		s.applyDispatch(at, request)
	case pb.Action_REFUSE, pb.Action_FAIL:
		s.ledger.Settle(at, &request.initialCharge, contract.Usage{}, false)
		if len(request.charges) == 0 {
			delete(s.openRequests, action.GetRequest())
		}
	}
}

// applyArrival charges a request to its contract and counts the ledger's verdict.
func (s *simulation) applyArrival(at balancer.Micros, record *pb.Record) {
	arrival := record.GetArrival()
	request := &openRequest{
		arrival: balancer.Request{
			Class:        string(arrival.GetClass()),
			Tenant:       string(arrival.GetTenant()),
			PromptTokens: int(arrival.GetPromptTokens()),
			MaxTokens:    int(arrival.GetMaxTokens()),
		},
		charges: map[int64]*contract.Charge{},
	}
	estimate, verdict := s.charge(at, request, &request.initialCharge)
	name, _ := s.ledger.Team(request.arrival.Tenant, request.arrival.Class)
	request.team = s.team(name)
	request.rejected = verdict.Rejected
	request.team.Requests++
	point := &request.team.Series[s.seriesIndex(at)]
	tokens := float64(estimate.PromptTokens + estimate.OutputTokens)
	tokensPerSecond := tokens * float64(s.seriesPoints) / s.seconds()
	switch {
	case verdict.Rejected:
		request.team.Rejected[verdict.Reason]++
		point.Rejected += tokensPerSecond
	case verdict.OverQuota || name == "":
		request.team.OverQuota++
		point.OverQuota += tokensPerSecond
	default:
		request.team.Admitted++
		point.FullWeight += tokensPerSecond
	}
	s.openRequests[record.GetRequest()] = request
}

// charge charges the estimate of a request, or of one of its attempts, to the ledger.
func (s *simulation) charge(at balancer.Micros, request *openRequest, charge *contract.Charge) (contract.Usage, contract.Verdict) {
	arrival := &request.arrival
	estimate := s.ledger.Estimate(arrival.Class, arrival.PromptTokens, arrival.MaxTokens)
	return estimate, s.ledger.Charge(at, arrival.Tenant, arrival.Class, estimate, charge)
}

// seriesIndex returns the index of the series point whose interval contains a time.
func (s *simulation) seriesIndex(at balancer.Micros) int {
	i := int(int64(s.seriesPoints) * (at - s.from) / (s.to - s.from))
	return min(max(0, i), s.seriesPoints-1)
}

// seconds returns the length of the simulated interval.
func (s *simulation) seconds() float64 { return float64(s.to-s.from) / 1e6 }

// applyDispatch charges a dispatched attempt. The first attempt takes over the charge of
// the request, each further attempt gets a separate charge.
func (s *simulation) applyDispatch(at balancer.Micros, request *openRequest) {
	attempt := request.attempts
	request.attempts++
	if request.rejected {
		return
	}
	charge := &contract.Charge{}
	if attempt == 0 {
		*charge, request.initialCharge = request.initialCharge, contract.Charge{}
		request.charges[0] = charge
		return
	}
	if _, verdict := s.charge(at, request, charge); verdict.Rejected {
		request.team.ExtraAttemptsRejected++
		return
	}
	request.team.ExtraAttempts++
	request.charges[attempt] = charge
}

// applyClientDisconnect removes a request without attempts and settles its charge at 0.
func (s *simulation) applyClientDisconnect(at balancer.Micros, id uint32) {
	if request := s.openRequests[id]; request != nil && request.attempts == 0 {
		s.ledger.Settle(at, &request.initialCharge, contract.Usage{}, false)
		delete(s.openRequests, id)
	}
}

// applyAttemptEnd settles an attempt at its actual usage and removes an ended request.
func (s *simulation) applyAttemptEnd(at balancer.Micros, record *pb.Record) {
	request := s.openRequests[record.GetRequest()]
	if request == nil {
		return
	}
	outcome := record.GetOutcome()
	status := balancer.Status(outcome.GetStatus())
	if status == balancer.Served {
		request.team.Served++
		if request.rejected {
			request.team.ServedThoughRejected++
		}
	}
	if charge := request.charges[outcome.GetAttempt()]; charge != nil {
		used := charge.ActualUsage(status, request.arrival.PromptTokens, int(outcome.GetKept()), int(outcome.GetTokens()))
		s.ledger.Settle(at, charge, used, status == balancer.Served)
		delete(request.charges, outcome.GetAttempt())
	}
	if outcome.GetFinal() && len(request.charges) == 0 {
		delete(s.openRequests, record.GetRequest())
	}
}

// finish completes the result with the counters of the ledger's accounts.
func (s *simulation) finish(terms []contract.Terms) *Result {
	const token = float64(contract.Token)
	for i, account := range s.ledger.Accounts() {
		team := s.teams[account.Team]
		counters := &account.Counters
		team.Requested = float64(counters.RequestedUnits()) / token
		team.Used = float64(counters.Used) / token
		team.Borrowed = float64(counters.Borrowed) / token
		team.RateShare = float64(counters.Used) / (terms[i].Rate * s.seconds())
	}
	for _, team := range s.orderedTeams {
		s.output.Teams = append(s.output.Teams, *team)
	}
	slices.SortStableFunc(s.output.Teams, func(a, b TeamResult) int {
		if (a.Team == "") != (b.Team == "") { // requests without a contract come last
			return cmp.Compare(b.Team, a.Team)
		}
		return 0
	})
	return s.output
}
