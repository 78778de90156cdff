package siteforecast

import (
	"cmp"
	"math"
	"slices"

	"archknot/internal/fleet/model"
	"archknot/internal/fleet/replica"
)

// Site is one site's part of the fleet.
type Site struct {
	Name          string  `json:"name"`
	Replicas      int     `json:"workers"`
	Capacity      float64 `json:"capacity"`   // seconds of work per second, with full batches
	Load          float64 `json:"load"`       // work that arrives over capacity, with all sites
	LoadAfterLoss float64 `json:"load_after"` // without the lost site; 0 for that site
}

// workSeconds returns a replica's time for a request of the stream with a full batch: its part of the steps
// that make its tokens, and the reading of its prompt. Medians of log-normal lengths are converted to means.
func workSeconds(s *model.Spec, stream *model.Stream) float64 {
	p := &s.Groups[0].Params
	meanOverMedian := math.Exp(stream.Spread * stream.Spread / 2)
	prompt := stream.PromptTokens * meanOverMedian
	answer := min(stream.AnswerTokens*meanOverMedian, float64(stream.MaxOutputTokens))
	stepPerSequence := (p.StepBase + float64(p.MaxRunning)*(p.StepPerSequence+p.StepPerContext*(prompt+answer/2)/1000)) / float64(p.MaxRunning)
	return (answer*stepPerSequence + prompt/1000*p.StepPerPrompt) / 1e6
}

// capacity returns what a group's replicas do, in seconds of work of the first group per second.
func capacity(s *model.Spec, group *model.Group) float64 {
	return float64(group.Count) * tokenRate(&group.Params) / tokenRate(&s.Groups[0].Params)
}

// tokenRate returns the tokens that a full batch makes per microsecond.
func tokenRate(p *replica.Params) float64 {
	return float64(p.MaxRunning) / (p.StepBase + float64(p.MaxRunning)*p.StepPerSequence)
}

// siteLoads returns each site's load with all sites and without the lost one.
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
	for i := range sites { // gateways balance load by headroom, which makes it equal everywhere
		sites[i].Load = work / total
		if sites[i].Name != lost && remaining > 0 {
			sites[i].LoadAfterLoss = work / remaining
		}
	}
	return sites
}

// demand is the traffic of a stream per second as a fluid.
type demand struct{ weight, work float64 }

// fluidBound returns an upper bound for the share of weight served: an oracle serves the traffic of the
// observed time as a fluid, the highest weight for its work first. The site's capacity is missing for the
// duration of the loss; replicas that warm up after it count as warm.
func fluidBound(s *model.Spec, l Loss) float64 {
	demands, offered := demandsByPriority(s)
	lostShare := min(1, float64(l.Duration)/float64(l.Observed))
	served := 0.0
	for _, phase := range []struct {
		share float64
		lost  string
	}{{lostShare, l.Site}, {1 - lostShare, ""}} {
		available := 0.0
		for i := range s.Groups {
			if s.Groups[i].Zone != phase.lost {
				available += capacity(s, &s.Groups[i])
			}
		}
		for _, d := range demands {
			servedShare := min(1, available/d.work)
			served, available = served+phase.share*servedShare*d.weight, available-servedShare*d.work
		}
	}
	return served / offered
}

// demandsByPriority returns the demands, the highest weight for its work first, and their total weight.
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
