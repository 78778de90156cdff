// Package forecast says beforehand what the loss of a site would come to: it plays a
// plan's fleet and traffic on the model, with the code that serves, with and without the
// loss. It does no I/O: what is drawn comes from the seeds.
package siteforecast

import (
	"cmp"
	"context"
	"fmt"

	"math"
	"runtime"
	"slices"

	"golang.org/x/sync/errgroup"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"archknot/balancer"
	"archknot/internal/fleet/model"
)

// Loss is what is asked: a site and its time away, in microseconds from the run's start.
type Loss struct {
	Site    string
	At, For balancer.Micros
	Told    balancer.Micros // until the registry says so
	Watch   balancer.Micros // what is counted: requests that come from At on for so long
}

// Spec is a plan's run in which the site is lost: its workers vanish, its gateways are
// killed. Requests that come before the loss are not counted.
func (l Loss) Spec(s *model.Spec) (*model.Spec, error) {
	out := *s
	zones := Zones(s)
	if !slices.Contains(zones, l.Site) {
		return nil, fmt.Errorf("no workers in site %q; there are %q", l.Site, zones)
	}
	if l.At <= 0 || l.For <= 0 || l.Watch <= 0 || l.Told < 0 {
		return nil, fmt.Errorf("the loss: expected its time, how long it is and what is watched above 0")
	}
	out.WarmUp, out.Duration, out.WindowLength = l.At, l.At+l.Watch, 1_000_000
	out.Faults = append(slices.Clone(s.Faults), model.Fault{At: l.At, Duration: l.For, Kind: "lose", Replica: -1, Zone: l.Site, Factor: float64(l.Told) / 1e6})
	out.Strikes = append(slices.Clone(s.Strikes), model.Strike{At: l.At, Duration: l.For, Kind: "kill", Gateway: -1, Site: slices.Index(zones, l.Site)})
	out.Drill.Sites = len(zones)
	return &out, nil
}

// Zones lists where a plan's workers stand, in the plan's order.
func Zones(s *model.Spec) (out []string) {
	for i := range s.Groups {
		if !slices.Contains(out, s.Groups[i].Zone) {
			out = append(out, s.Groups[i].Zone)
		}
	}
	return out
}

// Range is where the figure of one day lies with 19 in 20: that of a further run like those
// played (a prediction interval, Student's), and modelError to each side.
type Range struct {
	Mean float64 `json:"mean"`
	Low  float64 `json:"low"`
	High float64 `json:"high"`
}

// Within tells whether a figure lies in the range.
func (r Range) Within(v float64) bool { return v >= r.Low && v <= r.High }

func (r Range) String() string { return fmt.Sprintf("%.3f (%.3f to %.3f)", r.Mean, r.Low, r.High) }

// modelError is what processes have differed from the model by, beyond its own spread:
// requests that are under way at the moment of the loss, and the first probes after it
// (docs/measurements/site.md).
const modelError = 0.03

func newRange(list []float64) Range {
	n := float64(len(list))
	r := Range{Mean: stat.Mean(list, nil)}
	half := modelError
	if n > 1 {
		half += distuv.StudentsT{Sigma: 1, Nu: n - 1}.Quantile(0.975) * stat.StdDev(list, nil) * math.Sqrt(1+1/n)
	}
	r.Low, r.High = max(0, r.Mean-half), min(1, r.Mean+half)
	return r
}

// Class is a class's part of a forecast.
type Class struct {
	Name              string  `json:"name"`
	RequestsPerSecond float64 `json:"per_s"`      // requests a second
	WorkMs            float64 `json:"work_ms"`    // of a worker's time for one, at a full batch
	WeightPerWork     float64 `json:"per_work"`   // worth for a second of it: the order in which it is refused
	Baseline          float64 `json:"calm"`       // share of worth served without the loss
	Served            Range   `json:"served"`     // and with it
	Shed              Range   `json:"refused"`    // share of requests refused
	Late              float64 `json:"late_share"` // served after the aim
}

// Site is one site's part of the fleet.
type Site struct {
	Name          string  `json:"name"`
	Replicas      int     `json:"workers"`
	Capacity      float64 `json:"capacity"`   // seconds of work a second, at a full batch
	Load          float64 `json:"load"`       // work that comes over capacity, with all sites
	LoadAfterLoss float64 `json:"load_after"` // and without the lost one; its own: 0
}

// Second is a second of the run, from the loss on.
type Second struct {
	At       float64 `json:"at_s"`
	WithLoss Range   `json:"loss"` // worth served, as a share
	Baseline Range   `json:"calm"`
}

// Forecast is what is to be expected.
type Forecast struct {
	Lost            Loss      `json:"lost"`
	Seeds           int       `json:"seeds"`
	Sites           []Site    `json:"sites"`
	Classes         []Class   `json:"classes"` // what is refused first stands first
	Served          Range     `json:"served"`  // worth, as a share of what was asked for
	Baseline        Range     `json:"calm"`
	FluidBound      float64   `json:"fluid"`  // what an oracle with the true capacities could serve, of a fluid
	RecoverySeconds float64   `json:"back_s"` // from the return until as much is served as without a loss; -1: not in what was watched
	SpareFactor     float64   `json:"spare"`  // times as many workers elsewhere that would keep all; 0: three times would not
	Seconds         []Second  `json:"seconds"`
	ServedBySeed    []float64 `json:"-"` // worth served, by seed
}

// Options of a forecast.
type Options struct {
	Seeds     int
	FirstSeed uint64
	OnRunDone func() // called after each run
}

// keptThreshold is the part of what is served in calm from which a site's loss counts as kept.
const keptThreshold = 0.98

// Run plays a plan with and without a loss. The spec of a seed comes from spec.
func Run(ctx context.Context, spec func(seed uint64) (*model.Spec, error), l Loss, o Options) (*Forecast, error) {
	base, err := spec(o.FirstSeed)
	if err != nil {
		return nil, err
	}
	if _, err := l.Spec(base); err != nil {
		return nil, err
	}
	lost, calm := make([]*model.Result, o.Seeds), make([]*model.Result, o.Seeds)
	if err := runParallel(ctx, o.Seeds*2, func(i int) error {
		s, err := spec(o.FirstSeed + uint64(i/2))
		if err != nil {
			return err
		}
		s, err = l.Spec(s)
		if err != nil {
			return err
		}
		to := lost
		if i%2 == 1 {
			to, s.Faults = calm, s.Faults[:len(s.Faults)-1]
		}
		to[i/2], err = model.Run(s)
		if o.OnRunDone != nil {
			o.OnRunDone()
		}
		return err
	}); err != nil {
		return nil, err
	}
	f := &Forecast{Lost: l, Seeds: o.Seeds, Sites: siteLoads(base, l.Site), RecoverySeconds: -1}
	f.ServedBySeed = goodputs(lost, "")
	f.Served, f.Baseline, f.FluidBound = newRange(f.ServedBySeed), newRange(goodputs(calm, "")), fluidBound(base, l)
	for i := range base.Settings.Classes {
		c := &base.Settings.Classes[i]
		work, per := 0.0, 0.0
		for _, t := range base.Streams {
			if t.Class == c.Name {
				work, per = work+t.RequestsPerSecond*workSeconds(base, &t), per+t.RequestsPerSecond
			}
		}
		if per == 0 {
			continue
		}
		var refused, late []float64
		for _, r := range lost {
			if n := r.Classes[c.Name]; n != nil && n.Sent > 0 {
				refused = append(refused, float64(n.Ends["refused"])/float64(n.Sent))
				late = append(late, float64(n.Ends["served"]-n.InTime)/float64(n.Sent))
			}
		}
		if len(refused) == 0 {
			continue
		}
		f.Classes = append(f.Classes, Class{Name: c.Name, RequestsPerSecond: per, WorkMs: 1000 * work / per, WeightPerWork: c.PriorityWeight / (work / per), Baseline: newRange(goodputs(calm, c.Name)).Mean,
			Served: newRange(goodputs(lost, c.Name)), Shed: newRange(refused), Late: newRange(late).Mean})
	}
	slices.SortFunc(f.Classes, func(a, b Class) int { return cmp.Compare(a.WeightPerWork, b.WeightPerWork) })
	f.compareSeconds(lost, calm)
	return f, f.findSpareFactor(ctx, spec, o)
}

func runParallel(ctx context.Context, n int, do func(i int) error) error {
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(runtime.GOMAXPROCS(0))
	for i := range n {
		g.Go(func() error {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			return do(i)
		})
	}
	return g.Wait()
}

// goodputs are what was served in worth, by run; class "": of all.
func goodputs(list []*model.Result, class string) (out []float64) {
	for _, r := range list {
		c := r.All
		if class != "" {
			c = r.Classes[class]
		}
		if c != nil && c.WeightOffered > 0 {
			out = append(out, c.WeightedGoodput())
		}
	}
	return out
}

// workSeconds is a worker's time for a request of a stream, in seconds, in a full batch: its
// part of the steps that make its tokens, and the reading of its prompt. The medians of a
// log-normal draw are taken to their means.
func workSeconds(s *model.Spec, t *model.Stream) float64 {
	g := &s.Groups[0].Params
	mean := math.Exp(t.Spread * t.Spread / 2)
	prompt, answer := t.PromptTokens*mean, min(t.AnswerTokens*mean, float64(t.MaxOutputTokens))
	step := (g.StepBase + float64(g.MaxRunning)*(g.StepPerSequence+g.StepPerContext*(prompt+answer/2)/1000)) / float64(g.MaxRunning)
	return (answer*step + prompt/1000*g.StepPerPrompt) / 1e6
}

// capacity is what a group's workers do, in seconds of work a second of the first group's.
func capacity(s *model.Spec, g *model.Group) float64 {
	a, b := &s.Groups[0].Params, &g.Params
	rate := func(p *batch) float64 { return float64(p.slots) / (p.base + float64(p.slots)*p.each) }
	return float64(g.Count) * rate(&batch{b.MaxRunning, b.StepBase, b.StepPerSequence}) / rate(&batch{a.MaxRunning, a.StepBase, a.StepPerSequence})
}

// batch is what sets the pace of a full batch.
type batch struct {
	slots      int
	base, each float64
}

// siteLoads tells what each site bears, with all and without one.
func siteLoads(s *model.Spec, lost string) (out []Site) {
	work, all, left := 0.0, 0.0, 0.0
	for i := range s.Streams {
		work += s.Streams[i].RequestsPerSecond * workSeconds(s, &s.Streams[i])
	}
	for _, z := range Zones(s) {
		n := Site{Name: z}
		for i := range s.Groups {
			if g := &s.Groups[i]; g.Zone == z {
				n.Replicas += g.Count
				n.Capacity += capacity(s, g)
			}
		}
		if all += n.Capacity; z != lost {
			left += n.Capacity
		}
		out = append(out, n)
	}
	for i := range out { // by headroom: alike in each
		if out[i].Load = work / all; out[i].Name != lost && left > 0 {
			out[i].LoadAfterLoss = work / left
		}
	}
	return out
}

// fluidBound is the share of worth that an oracle could serve: what comes in the time that is
// watched is a fluid, and what is worth most for its work goes first. Of the time away
// capacity is without the site; what is cold after it counts as warm, so it is a bound.
func fluidBound(s *model.Spec, l Loss) float64 {
	type part struct{ worth, work float64 }
	var parts []part
	worth := map[string]float64{}
	for _, c := range s.Settings.Classes {
		worth[c.Name] = c.PriorityWeight
	}
	asked, served := 0.0, 0.0
	for i := range s.Streams {
		t := &s.Streams[i]
		parts = append(parts, part{t.RequestsPerSecond * worth[t.Class], t.RequestsPerSecond * workSeconds(s, t)})
		asked += t.RequestsPerSecond * worth[t.Class]
	}
	slices.SortFunc(parts, func(a, b part) int { return cmp.Compare(b.worth/b.work, a.worth/a.work) })
	away := min(1, float64(l.For)/float64(l.Watch))
	for _, x := range []struct {
		share float64
		lost  string
	}{{away, l.Site}, {1 - away, ""}} {
		room := 0.0
		for i := range s.Groups {
			if s.Groups[i].Zone != x.lost {
				room += capacity(s, &s.Groups[i])
			}
		}
		for _, p := range parts {
			part := min(1, room/p.work)
			served, room = served+x.share*part*p.worth, room-part*p.work
		}
	}
	return served / asked
}

// compareSeconds tells how what came second by second was served, and when the return is over.
func (f *Forecast) compareSeconds(lost, calm []*model.Result) {
	first := int(f.Lost.At / 1_000_000)
	worth := func(list []*model.Result, i int) (out []float64) {
		for _, r := range list {
			if w := r.Windows[i]; w.WeightOffered > 0 {
				out = append(out, w.WeightServed/w.WeightOffered)
			}
		}
		return out
	}
	back := float64(f.Lost.At+f.Lost.For) / 1e6
	for i := first; i < len(lost[0].Windows); i++ {
		a, b := worth(lost, i), worth(calm, i)
		if len(a) == 0 || len(b) == 0 {
			continue
		}
		at := lost[0].Windows[i].At
		f.Seconds = append(f.Seconds, Second{at - float64(f.Lost.At)/1e6, newRange(a), newRange(b)})
	}
	// Over from the first second after the last that fell short.
	for i := len(f.Seconds) - 1; i >= 0; i-- {
		x := f.Seconds[i]
		if at := x.At + float64(f.Lost.At)/1e6; at < back {
			f.RecoverySeconds = max(0, f.RecoverySeconds)
			break
		} else if x.WithLoss.Mean < 0.95*x.Baseline.Mean {
			break
		} else {
			f.RecoverySeconds = max(0, at-back)
		}
	}
}

// findSpareFactor finds how many times as many workers elsewhere keep what is served.
func (f *Forecast) findSpareFactor(ctx context.Context, spec func(uint64) (*model.Spec, error), o Options) error {
	if f.Served.Mean >= keptThreshold*f.Baseline.Mean {
		f.SpareFactor = 1
		return nil
	}
	factors := []float64{1.1, 1.2, 1.3, 1.5, 1.75, 2, 2.5, 3}
	seeds := min(3, o.Seeds)
	got := make([][]float64, len(factors))
	for i := range got {
		got[i] = make([]float64, seeds)
	}
	if err := runParallel(ctx, len(factors)*seeds, func(i int) error {
		s, err := spec(o.FirstSeed + uint64(i%seeds))
		if err != nil {
			return err
		}
		if s, err = f.Lost.Spec(s); err != nil {
			return err
		}
		s.Groups = slices.Clone(s.Groups)
		for j := range s.Groups {
			if g := &s.Groups[j]; g.Zone != f.Lost.Site {
				g.Count = int(math.Ceil(float64(g.Count) * factors[i/seeds]))
			}
		}
		r, err := model.Run(s)
		if err == nil {
			got[i/seeds][i%seeds] = r.All.WeightedGoodput()
		}
		return err
	}); err != nil {
		return err
	}
	for i, list := range got {
		if stat.Mean(list, nil) >= keptThreshold*f.Baseline.Mean {
			f.SpareFactor = factors[i]
			return nil
		}
	}
	return nil
}

// ByClass are a forecast's classes by name.
func (f *Forecast) ByClass() map[string]Class {
	out := map[string]Class{}
	for _, c := range f.Classes {
		out[c.Name] = c
	}
	return out
}
