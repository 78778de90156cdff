package siteforecast

import (
	"cmp"
	"math"
	"slices"

	"archknot/internal/fleet/model"
	"archknot/internal/fleet/replica"
)

// Site contains the capacity and load of the replicas of one site.
type Site struct {
	Name          string  `json:"name"`
	Replicas      int     `json:"workers"`
	Capacity      float64 `json:"capacity"`   // seconds of work per second, with full batches; work is that of a replica of the first group
	Load          float64 `json:"load"`       // arriving work divided by capacity, with all sites
	LoadAfterLoss float64 `json:"load_after"` // Load without the lost site; 0 for the lost site
}

// workSeconds returns the mean time that a replica of the first group with a full batch spends on a request of
// the stream: the request's part of the decode steps plus its prefill. The medians of the log-normal lengths
// are converted to means.
func workSeconds(s *model.Spec, stream *model.Stream) float64 {
	p := &s.Groups[0].Params
	meanOverMedian := math.Exp(stream.Spread * stream.Spread / 2)
	prompt := stream.PromptTokens * meanOverMedian
	answer := min(stream.AnswerTokens*meanOverMedian, float64(stream.MaxOutputTokens))
	stepPerSequence := (p.StepBase + float64(p.MaxRunning)*(p.StepPerSequence+p.StepPerContext*(prompt+answer/2)/1000)) / float64(p.MaxRunning)
	return (answer*stepPerSequence + prompt/1000*p.StepPerPrompt) / 1e6
}

// capacity returns the capacity of a group, in seconds of work of a replica of the first group per second.
func capacity(s *model.Spec, group *model.Group) float64 {
	return float64(group.Count) * tokenRate(&group.Params) / tokenRate(&s.Groups[0].Params)
}

// tokenRate returns the number of tokens that a replica generates per microsecond with a full batch.
func tokenRate(p *replica.Params) float64 {
	return float64(p.MaxRunning) / (p.StepBase + float64(p.MaxRunning)*p.StepPerSequence)
}

// siteLoads returns each site's capacity, and its load with all sites and without the lost site.
func siteLoads(s *model.Spec, lost string) (sites []Site) {
	work, total, remaining := 0.0, 0.0, 0.0
	for i := range s.Streams {
		work += s.Streams[i].RequestsPerSecond * workSeconds(s, &s.Streams[i])
	}
	for _, zone := range Zones(s) {
		site := Site{Name: zone}
		for i := range s.Groups {
			if group := &s.Groups[i]; group.Zone == zone {
				site.Replicas += group.Count
				site.Capacity += capacity(s, group)
			}
		}
		total += site.Capacity
		if zone != lost {
			remaining += site.Capacity
		}
		sites = append(sites, site)
	}
	for i := range sites { // gateways balance load by headroom, which equalizes the load of the sites
		sites[i].Load = work / total
		if sites[i].Name != lost && remaining > 0 {
			sites[i].LoadAfterLoss = work / remaining
		}
	}
	return sites
}

// demand is the traffic of a stream as a fluid: priority weight and seconds of work that arrive per second.
type demand struct{ weight, work float64 }

// fluidBound returns an upper bound of the fraction of weight served. It treats the traffic of the observed
// time as a fluid that is served in descending order of weight per work. The lost site has no capacity for the
// duration of the loss and all of its capacity afterwards, without a warm-up.
func fluidBound(s *model.Spec, l Loss) float64 {
	demands, offered := demandsByPriority(s)
	lossFraction := min(1, float64(l.Duration)/float64(l.Observed))
	served := 0.0
	for _, phase := range []struct {
		timeFraction float64
		lost         string
	}{{lossFraction, l.Site}, {1 - lossFraction, ""}} {
		available := 0.0
		for i := range s.Groups {
			if s.Groups[i].Zone != phase.lost {
				available += capacity(s, &s.Groups[i])
			}
		}
		for _, d := range demands {
			servedFraction := min(1, available/d.work)
			served, available = served+phase.timeFraction*servedFraction*d.weight, available-servedFraction*d.work
		}
	}
	return served / offered
}

// demandsByPriority returns the demands of all streams in descending order of weight per work, and their total
// weight.
func demandsByPriority(s *model.Spec) (demands []demand, offered float64) {
	weights := map[string]float64{}
	for _, class := range s.Settings.Classes {
		weights[class.Name] = class.PriorityWeight
	}
	for i := range s.Streams {
		stream := &s.Streams[i]
		weight := stream.RequestsPerSecond * weights[stream.Class]
		demands = append(demands, demand{weight, stream.RequestsPerSecond * workSeconds(s, stream)})
		offered += weight
	}
	slices.SortFunc(demands, func(a, b demand) int { return cmp.Compare(b.weight/b.work, a.weight/a.work) })
	return demands, offered
}
