package siteforecast

import (
	"errors"
	"fmt"
	"slices"

	"archknot/balancer"
	"archknot/internal/fleet/model"
)

// windowLength is the length of the windows of a run with a loss.
const windowLength balancer.Micros = 1_000_000

// errInvalidLoss reports a Loss with a time that is not positive.
var errInvalidLoss = errors.New("loss of a site: expected its time, its duration and the observed time above 0")

// Loss is the loss of a site for some time. Times are in microseconds from the run's start.
type Loss struct {
	Site         string          `json:"Site"`
	At           balancer.Micros `json:"At"`
	Duration     balancer.Micros `json:"For"`
	NoticedAfter balancer.Micros `json:"Told"`  // until discovery no longer lists the site's replicas
	Observed     balancer.Micros `json:"Watch"` // requests that are sent for so long from At on are counted
}

// Spec returns a copy of a run in which the site is lost: its replicas vanish and its gateways are killed.
// Requests that are sent before the loss are not counted.
func (l Loss) Spec(s *model.Spec) (*model.Spec, error) {
	zones := Zones(s)
	if !slices.Contains(zones, l.Site) {
		return nil, fmt.Errorf("no replicas in site %q; there are %q", l.Site, zones)
	}
	if l.At <= 0 || l.Duration <= 0 || l.Observed <= 0 || l.NoticedAfter < 0 {
		return nil, errInvalidLoss
	}
	out := *s
	out.WarmUp = l.At
	out.Duration = l.At + l.Observed
	out.WindowLength = windowLength
	out.Faults = append(slices.Clone(s.Faults), model.Fault{
		At:       l.At,
		Duration: l.Duration,
		Kind:     model.FaultLoseMachine,
		Replica:  -1,
		Zone:     l.Site,
		Factor:   float64(l.NoticedAfter) / 1e6,
	})
	out.Strikes = append(slices.Clone(s.Strikes), model.Strike{
		At:       l.At,
		Duration: l.Duration,
		Kind:     "kill",
		Gateway:  -1,
		Site:     slices.Index(zones, l.Site),
	})
	out.Drill.Sites = len(zones)
	return &out, nil
}

// Zones returns the zones of a run's replicas, in the plan's order.
func Zones(s *model.Spec) (zones []string) {
	for i := range s.Groups {
		if !slices.Contains(zones, s.Groups[i].Zone) {
			zones = append(zones, s.Groups[i].Zone)
		}
	}
	return zones
}
