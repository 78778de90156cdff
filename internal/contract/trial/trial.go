// Package trial tells what contracts would have done to a capture: it has a book
// judge the requests of a recording as they came, and settles them as they ended.
// What the decision module did with them stays as it was recorded.
package trial

import (
	"cmp"
	"errors"
	"io"
	"slices"
	"time"

	"archknot/choice"
	"archknot/internal/capture"
	pb "archknot/internal/capture/capturepb"
	"archknot/internal/contract"
)

// Options of a trial.
type Options struct {
	Settings contract.Settings
	Terms    []contract.Terms
	From, To choice.Micros // on the recording's clock; 0: its ends
	Points   int           // of the series; 0: 120
	Progress func(at choice.Micros)
}

// Team is what became of one team's requests. Units are tokens at price 1.
type Team struct {
	Team      string           `json:"team"` // "" is whoever has no contract
	Requests  int64            `json:"requests"`
	Taken     int64            `json:"taken"` // at full worth
	Over      int64            `json:"over"`  // beyond the rate: competing with a smaller worth
	Refused   map[string]int64 `json:"refused"`
	Copies    int64            `json:"copies"`         // further copies that were charged
	NotSent   int64            `json:"copies_refused"` // copies that the contract would not have let out
	Served    int64            `json:"served"`         // in the recording
	Missed    int64            `json:"served_refused"` // of those refused, served in the recording
	Asked     float64          `json:"asked_tokens"`
	Used      float64          `json:"used_tokens"`
	Borrowed  float64          `json:"borrowed_tokens"`
	RateShare float64          `json:"used_of_rate"` // what was used, in parts of what the rate earned
	Series    []Point          `json:"series"`
}

// Point is one span of the series.
type Point struct {
	At   time.Time `json:"at"`
	Full float64   `json:"full_tokens_per_s"` // asked for and taken at full worth
	Over float64   `json:"over_tokens_per_s"`
	Out  float64   `json:"refused_tokens_per_s"`
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
	Gateway string    `json:"gateway"`
	From    time.Time `json:"from"`
	To      time.Time `json:"to"`
	Teams   []Team    `json:"teams"` // in the contracts' order, then those without
	Notices []Notice  `json:"notices"`
	Gaps    int64     `json:"gaps"` // in the recording: what came then is not counted
}

// Run plays a recording.
func Run(run *capture.Run, o Options) (*Result, error) {
	last, err := lastOf(run)
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
	book, err := contract.New(o.Settings, o.Terms, from, run.Wall(from).UnixMicro())
	if err != nil {
		return nil, err
	}
	p := &player{run: run, book: book, from: from, to: to, points: cmp.Or(o.Points, 120), out: &Result{Gateway: run.Gateway,
		From: run.Wall(from), To: run.Wall(to)}, teams: map[string]*Team{}, open: map[uint32]*request{}}
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
			p.out.Gaps++
			p.lost()
			continue
		}
		if e.At < from {
			continue
		}
		if p.event(e.At, e.Record); n%4096 == 0 && o.Progress != nil {
			o.Progress(e.At)
		}
	}
	return p.result(o.Terms), nil
}

// lastOf is the time of a recording's last event: its index has those of blocks.
func lastOf(run *capture.Run) (last choice.Micros, err error) {
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

// request is one in hand.
type request struct {
	team    *Team
	in      choice.Request
	refused bool
	charges map[int64]*contract.Charge // by attempt
	first   contract.Charge            // until the first attempt has it
	sent    int64
}

type player struct {
	run      *capture.Run
	book     *contract.Book
	from, to choice.Micros
	points   int
	out      *Result
	teams    map[string]*Team
	order    []*Team
	open     map[uint32]*request
}

func (p *player) team(name string) *Team {
	t := p.teams[name]
	if t == nil {
		t = &Team{Team: name, Refused: map[string]int64{}, Series: make([]Point, p.points)}
		span := float64(p.to-p.from) / float64(p.points)
		for i := range t.Series {
			t.Series[i].At = p.run.Wall(p.from + choice.Micros(span*float64(i)))
		}
		p.teams[name] = t
		p.order = append(p.order, t)
	}
	return t
}

// lost forgets what was in hand: how it ended is not known. It keeps its estimates.
func (p *player) lost() {
	for id, q := range p.open {
		p.book.Settle(0, &q.first, q.first.Thought, false)
		for _, c := range q.charges {
			p.book.Settle(0, c, c.Thought, false)
		}
		delete(p.open, id)
	}
}

func (p *player) event(at choice.Micros, rec *pb.Record) {
	switch rec.Kind {
	case pb.Kind_KIND_ARRIVED:
		p.arrived(at, rec)
	case pb.Kind_KIND_ENDED:
		p.ended(at, rec)
	case pb.Kind_KIND_LEFT:
		if q := p.open[rec.Request]; q != nil && q.sent == 0 {
			p.book.Settle(at, &q.first, contract.Use{}, false)
			delete(p.open, rec.Request)
		}
	}
	for _, a := range rec.Actions {
		q := p.open[a.Request]
		if q == nil {
			continue
		}
		switch a.Kind {
		case pb.Action_DISPATCH:
			p.sent(at, q)
		case pb.Action_REFUSE, pb.Action_FAIL:
			p.book.Settle(at, &q.first, contract.Use{}, false)
			if len(q.charges) == 0 {
				delete(p.open, a.Request)
			}
		}
	}
	for _, n := range p.book.Notices() {
		p.out.Notices = append(p.out.Notices, Notice{p.run.Wall(at), n.Team, n.Period.String(), n.Percent})
	}
}

func (p *player) arrived(at choice.Micros, rec *pb.Record) {
	a := rec.Arrival
	q := &request{in: choice.Request{Class: string(a.GetClass()), Tenant: string(a.GetTenant()), PromptTokens: int(a.GetPromptTokens()),
		MaxTokens: int(a.GetMaxTokens())}, charges: map[int64]*contract.Charge{}}
	u := p.book.Estimate(q.in.Class, q.in.PromptTokens, q.in.MaxTokens)
	v := p.book.Take(at, q.in.Tenant, q.in.Class, u, &q.first)
	name, _ := p.book.Team(q.in.Tenant, q.in.Class)
	q.team = p.team(name)
	q.team.Requests++
	cost := float64(u.Read + u.Made)
	i := int(int64(p.points) * (at - p.from) / (p.to - p.from))
	point := &q.team.Series[min(max(0, i), p.points-1)]
	perS := cost * float64(p.points) / (float64(p.to-p.from) / 1e6)
	switch {
	case v.Refuse:
		q.team.Refused[v.Reason]++
		q.refused = true
		point.Out += perS
	case v.Over || name == "":
		q.team.Over++
		point.Over += perS
	default:
		q.team.Taken++
		point.Full += perS
	}
	p.open[rec.Request] = q
}

// sent charges a further copy to whom it is sent for.
func (p *player) sent(at choice.Micros, q *request) {
	n := q.sent
	q.sent++
	if q.refused {
		return
	}
	if n == 0 {
		c := q.first
		q.first = contract.Charge{}
		q.charges[0] = &c
		return
	}
	c := &contract.Charge{}
	u := p.book.Estimate(q.in.Class, q.in.PromptTokens, q.in.MaxTokens)
	if v := p.book.Take(at, q.in.Tenant, q.in.Class, u, c); v.Refuse {
		q.team.NotSent++
		return
	}
	q.team.Copies++
	q.charges[n] = c
}

func (p *player) ended(at choice.Micros, rec *pb.Record) {
	q := p.open[rec.Request]
	if q == nil {
		return
	}
	o := rec.Outcome
	status := choice.Status(o.GetStatus())
	if status == choice.Served {
		q.team.Served++
		if q.refused {
			q.team.Missed++
		}
	}
	if c := q.charges[o.GetAttempt()]; c != nil {
		used := c.Used(status, q.in.PromptTokens, int(o.GetKept()), int(o.GetTokens()))
		p.book.Settle(at, c, used, status == choice.Served)
		delete(q.charges, o.GetAttempt())
	}
	if o.GetFinal() && len(q.charges) == 0 {
		delete(p.open, rec.Request)
	}
}

func (p *player) result(terms []contract.Terms) *Result {
	seconds := float64(p.to-p.from) / 1e6
	token := float64(contract.Token)
	for i, a := range p.book.Accounts() {
		t := p.teams[a.Team]
		c := &a.Count
		t.Asked, t.Used, t.Borrowed = float64(c.Asked())/token, float64(c.Used)/token, float64(c.Borrowed)/token
		t.RateShare = float64(c.Used) / (terms[i].Rate * seconds)
	}
	for _, t := range p.order {
		p.out.Teams = append(p.out.Teams, *t)
	}
	slices.SortStableFunc(p.out.Teams, func(a, b Team) int {
		if (a.Team == "") != (b.Team == "") { // whoever has none comes last
			return cmp.Compare(b.Team, a.Team)
		}
		return 0
	})
	return p.out
}
