// Package siteforecast forecasts the effects of the loss of a site: it runs a plan's fleet and traffic on
// the fleet model, which has the gateway's own balancer, with and without the loss. It does no I/O, and all
// random numbers come from the seeds.
package siteforecast

import (
	"cmp"
	"context"
	"math"
	"runtime"
	"slices"

	"golang.org/x/sync/errgroup"
	"gonum.org/v1/gonum/stat"

	"archknot/balancer"
	"archknot/internal/fleet/model"
)

const (
	// keptThreshold is the share of the goodput without a loss from which the fleet counts as keeping it.
	keptThreshold = 0.98
	// recoveredThreshold is that share for a single second, from which it counts as recovered.
	recoveredThreshold = 0.95
	// maxSpareSeeds is how many seeds each spare factor is run with.
	maxSpareSeeds = 3
	// notRecovered is RecoverySeconds if the fleet does not recover in the observed time.
	notRecovered = -1
)

// spareFactors are the factors on the replicas of other sites that are tried.
var spareFactors = []float64{1.1, 1.2, 1.3, 1.5, 1.75, 2, 2.5, 3}

// Class is a class's part of a forecast.
type Class struct {
	Name              string  `json:"name"`
	RequestsPerSecond float64 `json:"per_s"`
	WorkMs            float64 `json:"work_ms"`    // a replica's time for a request, with a full batch
	WeightPerWork     float64 `json:"per_work"`   // priority weight for a second of work: the lowest is shed first
	Baseline          float64 `json:"calm"`       // share of weight served without the loss
	Served            Range   `json:"served"`     // share of weight served with the loss
	Shed              Range   `json:"refused"`    // share of requests shed
	Late              float64 `json:"late_share"` // share of requests served after the latency objective
}

// Second is a second of the run, from the loss on: the shares of weight served.
type Second struct {
	At       float64 `json:"at_s"`
	WithLoss Range   `json:"loss"`
	Baseline Range   `json:"calm"`
}

// Forecast is what is to be expected of a loss.
type Forecast struct {
	Lost            Loss      `json:"lost"`
	Seeds           int       `json:"seeds"`
	Sites           []Site    `json:"sites"`
	Classes         []Class   `json:"classes"` // in the order in which they are shed
	Served          Range     `json:"served"`  // share of weight served with the loss
	Baseline        Range     `json:"calm"`    // share of weight served without it
	FluidBound      float64   `json:"fluid"`   // see fluidBound
	RecoverySeconds float64   `json:"back_s"`  // from the site's return until as much is served as without the loss; -1: longer than observed
	SpareFactor     float64   `json:"spare"`   // factor on the replicas of other sites with which the goodput is kept; 0: more than the largest tried
	Seconds         []Second  `json:"seconds"`
	ServedBySeed    []float64 `json:"-"` // share of weight served with the loss
}

// Options of a forecast.
type Options struct {
	Seeds     int
	FirstSeed uint64
	OnRunDone func() // called after each run, from many goroutines; may be nil
}

// SpecFunc returns the run of a plan with a seed. It is called from many goroutines at once.
type SpecFunc func(seed uint64) (*model.Spec, error)

// Run runs a plan with and without a loss, and forecasts the loss.
func Run(ctx context.Context, spec SpecFunc, l Loss, o Options) (*Forecast, error) {
	base, err := spec(o.FirstSeed)
	if err != nil {
		return nil, err
	}
	if _, err := l.Spec(base); err != nil {
		return nil, err
	}
	withLoss, baseline, err := runPairs(ctx, spec, l, o)
	if err != nil {
		return nil, err
	}
	f := &Forecast{Lost: l, Seeds: o.Seeds, Sites: siteLoads(base, l.Site), RecoverySeconds: notRecovered}
	f.ServedBySeed = goodputs(withLoss, "")
	f.Served = newRange(f.ServedBySeed)
	f.Baseline = newRange(goodputs(baseline, ""))
	f.FluidBound = fluidBound(base, l)
	for i := range base.Settings.Classes {
		if class, ok := forecastClass(base, &base.Settings.Classes[i], withLoss, baseline); ok {
			f.Classes = append(f.Classes, class)
		}
	}
	slices.SortFunc(f.Classes, func(a, b Class) int { return cmp.Compare(a.WeightPerWork, b.WeightPerWork) })
	f.compareSeconds(withLoss, baseline)
	f.findRecovery()
	return f, f.findSpareFactor(ctx, spec, o)
}

// runPairs runs each seed with and without the loss.
func runPairs(ctx context.Context, spec SpecFunc, l Loss, o Options) (withLoss, baseline []*model.Result, err error) {
	withLoss, baseline = make([]*model.Result, o.Seeds), make([]*model.Result, o.Seeds)
	err = runParallel(ctx, o.Seeds*2, func(i int) error {
		s, err := spec(o.FirstSeed + uint64(i/2))
		if err != nil {
			return err
		}
		s, err = l.Spec(s)
		if err != nil {
			return err
		}
		results := withLoss
		if i%2 == 1 {
			results = baseline
			s.Faults = s.Faults[:len(s.Faults)-1] // without the loss, which is the last one
		}
		results[i/2], err = model.Run(s)
		if o.OnRunDone != nil {
			o.OnRunDone()
		}
		return err
	})
	return withLoss, baseline, err
}

// runParallel calls do with 0 to n-1 on all cores, until one of the calls fails.
func runParallel(ctx context.Context, n int, do func(i int) error) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(runtime.GOMAXPROCS(0))
	for i := range n {
		group.Go(func() error {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			return do(i)
		})
	}
	return group.Wait()
}

// forecastClass forecasts a class. It returns false if the class has no traffic.
func forecastClass(s *model.Spec, class *balancer.Class, withLoss, baseline []*model.Result) (Class, bool) {
	work, requests := 0.0, 0.0 // per second
	for i := range s.Streams {
		if stream := &s.Streams[i]; stream.Class == class.Name {
			work += stream.RequestsPerSecond * workSeconds(s, stream)
			requests += stream.RequestsPerSecond
		}
	}
	if requests == 0 {
		return Class{}, false
	}
	var shed, late []float64
	for _, r := range withLoss {
		if c := r.Classes[class.Name]; c != nil && c.Sent > 0 {
			shed = append(shed, float64(c.Ends[model.OutcomeShed])/float64(c.Sent))
			late = append(late, float64(c.Ends[model.OutcomeServed]-c.InTime)/float64(c.Sent))
		}
	}
	if len(shed) == 0 {
		return Class{}, false
	}
	return Class{
		Name:              class.Name,
		RequestsPerSecond: requests,
		WorkMs:            1000 * work / requests,
		WeightPerWork:     class.PriorityWeight / (work / requests),
		Baseline:          newRange(goodputs(baseline, class.Name)).Mean,
		Served:            newRange(goodputs(withLoss, class.Name)),
		Shed:              newRange(shed),
		Late:              newRange(late).Mean,
	}, true
}

// goodputs returns the share of weight served in each run, of a class or, for "", of all.
func goodputs(results []*model.Result, class string) (shares []float64) {
	for _, r := range results {
		c := r.All
		if class != "" {
			c = r.Classes[class]
		}
		if c != nil && c.WeightOffered > 0 {
			shares = append(shares, c.WeightedGoodput())
		}
	}
	return shares
}

// compareSeconds compares the goodput second by second, from the loss on.
func (f *Forecast) compareSeconds(withLoss, baseline []*model.Result) {
	for i := int(f.Lost.At / windowLength); i < len(withLoss[0].Windows); i++ {
		lossShares, baselineShares := windowGoodputs(withLoss, i), windowGoodputs(baseline, i)
		if len(lossShares) == 0 || len(baselineShares) == 0 {
			continue
		}
		at := withLoss[0].Windows[i].At - f.lostAtSeconds()
		f.Seconds = append(f.Seconds, Second{at, newRange(lossShares), newRange(baselineShares)})
	}
}

func (f *Forecast) lostAtSeconds() float64 { return float64(f.Lost.At) / 1e6 }

// windowGoodputs returns the share of weight served in a window of each run.
func windowGoodputs(results []*model.Result, index int) (shares []float64) {
	for _, r := range results {
		if w := r.Windows[index]; w.WeightOffered > 0 {
			shares = append(shares, w.WeightServed/w.WeightOffered)
		}
	}
	return shares
}

// findRecovery sets RecoverySeconds: the fleet has recovered from the first second after the last one that
// fell short.
func (f *Forecast) findRecovery() {
	returnAt := float64(f.Lost.At+f.Lost.Duration) / 1e6
	for _, s := range slices.Backward(f.Seconds) {
		at := s.At + f.lostAtSeconds()
		if at < returnAt {
			f.RecoverySeconds = max(0, f.RecoverySeconds)
			return
		}
		if s.WithLoss.Mean < recoveredThreshold*s.Baseline.Mean {
			return
		}
		f.RecoverySeconds = max(0, at-returnAt)
	}
}

// findSpareFactor sets SpareFactor: the first of spareFactors with which the fleet keeps its goodput.
func (f *Forecast) findSpareFactor(ctx context.Context, spec SpecFunc, o Options) error {
	if f.Served.Mean >= keptThreshold*f.Baseline.Mean {
		f.SpareFactor = 1
		return nil
	}
	seeds := min(maxSpareSeeds, o.Seeds)
	goodput := make([][]float64, len(spareFactors))
	for i := range goodput {
		goodput[i] = make([]float64, seeds)
	}
	err := runParallel(ctx, len(spareFactors)*seeds, func(i int) error {
		factor, seed := i/seeds, i%seeds
		s, err := spec(o.FirstSeed + uint64(seed))
		if err != nil {
			return err
		}
		result, err := f.runWithSpare(s, spareFactors[factor])
		if err != nil {
			return err
		}
		goodput[factor][seed] = result.All.WeightedGoodput()
		return nil
	})
	if err != nil {
		return err
	}
	for i, shares := range goodput {
		if stat.Mean(shares, nil) >= keptThreshold*f.Baseline.Mean {
			f.SpareFactor = spareFactors[i]
			return nil
		}
	}
	return nil
}

// runWithSpare runs the loss with a factor on the replicas of the other sites.
func (f *Forecast) runWithSpare(s *model.Spec, factor float64) (*model.Result, error) {
	s, err := f.Lost.Spec(s)
	if err != nil {
		return nil, err
	}
	s.Groups = slices.Clone(s.Groups)
	for i := range s.Groups {
		if group := &s.Groups[i]; group.Zone != f.Lost.Site {
			group.Count = int(math.Ceil(float64(group.Count) * factor))
		}
	}
	return model.Run(s)
}

// ByClass returns the forecast's classes by name.
func (f *Forecast) ByClass() map[string]Class {
	byName := map[string]Class{}
	for _, class := range f.Classes {
		byName[class.Name] = class
	}
	return byName
}
