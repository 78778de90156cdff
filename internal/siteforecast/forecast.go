// Package siteforecast forecasts the effects of the loss of a site. It simulates a plan's fleet and traffic with
// and without the loss on the fleet model, which uses the gateway's own balancer. It does no I/O, and all
// random numbers are derived from the seeds.
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
	// sustainedFraction is the least goodput with a loss, as a fraction of the goodput without it, at which
	// the fleet sustains its goodput.
	sustainedFraction = 0.98
	// recoveredFraction is the least goodput of a second after a loss, as a fraction of the goodput of the same
	// second without it, at which the fleet has recovered.
	recoveredFraction = 0.95
	// maxSpareSeeds bounds the number of seeds that each spare factor is run with.
	maxSpareSeeds = 3
	// notRecovered is the value of RecoverySeconds if the fleet does not recover in the observed time.
	notRecovered = -1
)

// spareFactors are the candidates for Forecast.SpareFactor, in ascending order.
var spareFactors = []float64{1.1, 1.2, 1.3, 1.5, 1.75, 2, 2.5, 3}

// Class is the forecast for the requests of one class.
type Class struct {
	Name              string  `json:"name"`
	RequestsPerSecond float64 `json:"per_s"`
	WorkMs            float64 `json:"work_ms"`    // mean time of a replica for a request, with a full batch
	WeightPerWork     float64 `json:"per_work"`   // priority weight per second of work; the class with the lowest is shed first
	Baseline          float64 `json:"calm"`       // fraction of weight served without the loss
	Served            Range   `json:"served"`     // fraction of weight served with the loss
	Shed              Range   `json:"refused"`    // fraction of requests shed with the loss
	Late              float64 `json:"late_share"` // fraction of requests served after the latency objective, with the loss
}

// Second contains the fractions of weight served in one second of the runs.
type Second struct {
	At       float64 `json:"at_s"` // start in seconds after the loss
	WithLoss Range   `json:"loss"`
	Baseline Range   `json:"calm"`
}

// Forecast contains the predicted effects of a loss.
type Forecast struct {
	Lost            Loss      `json:"lost"`
	Seeds           int       `json:"seeds"`
	Sites           []Site    `json:"sites"`
	Classes         []Class   `json:"classes"` // in the order in which they are shed
	Served          Range     `json:"served"`  // fraction of weight served with the loss
	Baseline        Range     `json:"calm"`    // fraction of weight served without the loss
	FluidBound      float64   `json:"fluid"`   // upper bound of Served, see fluidBound
	RecoverySeconds float64   `json:"back_s"`  // from the site's return until recoveredFraction is reached for good; -1: not in the observed time
	SpareFactor     float64   `json:"spare"`   // factor on the replicas of the other sites that sustains the goodput; 0: above the largest candidate
	Seconds         []Second  `json:"seconds"` // from the loss on
	ServedBySeed    []float64 `json:"-"`       // fraction of weight served with the loss, for each seed
}

// Options are the parameters of a forecast.
type Options struct {
	Seeds     int    // number of successive seeds; each is run with and without the loss
	FirstSeed uint64 // lowest seed
	OnRunDone func() // called concurrently, after each of the 2*Seeds runs; may be nil
}

// SpecFunc returns the specification of a plan's run with a seed. It must be safe for concurrent use.
type SpecFunc func(seed uint64) (*model.Spec, error)

// Run simulates a plan with and without a loss and forecasts the effects of the loss. It returns an error if the
// plan has no such site, a time of the loss is invalid, a run fails or the context ends.
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

// runPairs runs each seed with and without the loss. The results are in the order of seeds.
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
			s.Faults = s.Faults[:len(s.Faults)-1] // Loss.Spec appends the loss of the replicas
		}
		results[i/2], err = model.Run(s)
		if o.OnRunDone != nil {
			o.OnRunDone()
		}
		return err
	})
	return withLoss, baseline, err
}

// runParallel calls do with each of 0 to n-1, GOMAXPROCS calls at a time. After an error, or when the context
// ends, it starts no further calls; it returns the first error.
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

// forecastClass returns the forecast of a class. It reports false if the class has no traffic.
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

// goodputs returns the fraction of weight served in each run, for one class or, if class is "", for all. Runs
// without such requests are left out.
func goodputs(results []*model.Result, class string) (fractions []float64) {
	for _, r := range results {
		c := r.All
		if class != "" {
			c = r.Classes[class]
		}
		if c != nil && c.WeightOffered > 0 {
			fractions = append(fractions, c.WeightedGoodput())
		}
	}
	return fractions
}

// compareSeconds sets Seconds: the goodput with and without the loss, second by second from the loss on.
func (f *Forecast) compareSeconds(withLoss, baseline []*model.Result) {
	for i := int(f.Lost.At / windowLength); i < len(withLoss[0].Windows); i++ {
		lossFractions, baselineFractions := windowGoodputs(withLoss, i), windowGoodputs(baseline, i)
		if len(lossFractions) == 0 || len(baselineFractions) == 0 {
			continue
		}
		at := withLoss[0].Windows[i].At - f.lostAtSeconds()
		f.Seconds = append(f.Seconds, Second{at, newRange(lossFractions), newRange(baselineFractions)})
	}
}

func (f *Forecast) lostAtSeconds() float64 { return float64(f.Lost.At) / 1e6 }

// windowGoodputs returns the fraction of weight served in a window of each run. Runs without requests in the
// window are left out.
func windowGoodputs(results []*model.Result, index int) (fractions []float64) {
	for _, r := range results {
		if w := r.Windows[index]; w.WeightOffered > 0 {
			fractions = append(fractions, w.WeightServed/w.WeightOffered)
		}
	}
	return fractions
}

// findRecovery sets RecoverySeconds. The fleet has recovered at the start of the first second from which on no
// second's goodput is below recoveredFraction of the baseline.
func (f *Forecast) findRecovery() {
	returnAt := float64(f.Lost.At+f.Lost.Duration) / 1e6
	for _, s := range slices.Backward(f.Seconds) {
		at := s.At + f.lostAtSeconds()
		if at < returnAt {
			f.RecoverySeconds = max(0, f.RecoverySeconds)
			return
		}
		if s.WithLoss.Mean < recoveredFraction*s.Baseline.Mean {
			return
		}
		f.RecoverySeconds = max(0, at-returnAt)
	}
}

// findSpareFactor sets SpareFactor to 1 if the fleet sustains its goodput as it is, and otherwise to the first
// of spareFactors with which it does.
func (f *Forecast) findSpareFactor(ctx context.Context, spec SpecFunc, o Options) error {
	if f.Served.Mean >= sustainedFraction*f.Baseline.Mean {
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
	for i, fractions := range goodput {
		if stat.Mean(fractions, nil) >= sustainedFraction*f.Baseline.Mean {
			f.SpareFactor = spareFactors[i]
			return nil
		}
	}
	return nil
}

// runWithSpare runs the loss with the replicas of the other sites multiplied by a factor.
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

// ByClass returns the forecasts of the classes, keyed by class name.
func (f *Forecast) ByClass() map[string]Class {
	byName := map[string]Class{}
	for _, class := range f.Classes {
		byName[class.Name] = class
	}
	return byName
}
