package siteforecast

import (
	"errors"
	"fmt"
	"slices"

	"archknot/balancer"
	"archknot/internal/fleet/model"
)

// windowLength is the length of the windows in which a run's goodput is counted.
const windowLength balancer.Micros = 1_000_000

// errInvalidLoss reports a Loss whose times are out of range.
var errInvalidLoss = errors.New("loss of a site: expected its time, its duration and the observed time above 0, and a time until discovery removes its replicas of at least 0")

// Loss describes the temporary loss of a site. Times are in microseconds.
type Loss struct {
	Site         string          `json:"Site"`  // a zone of the plan's replicas
	At           balancer.Micros `json:"At"`    // time of the loss from the start of the run
	Duration     balancer.Micros `json:"For"`   // from the loss until the site returns
	NoticedAfter balancer.Micros `json:"Told"`  // from the loss until discovery no longer lists the site's replicas
	Observed     balancer.Micros `json:"Watch"` // period from the loss on whose requests are counted
}

// Spec returns a copy of a run's specification in which the site is lost: its machines fail and its gateways
// are killed. Requests that are sent before the loss are not counted. It returns an error if the site has no
// replicas or a time is out of range.
func (l Loss) Spec(s *model.Spec) (*model.Spec, error) {
	zones := Zones(s)
	if !slices.Contains(zones, l.Site) {
		return nil, fmt.Errorf("no replicas in site %q: expected one of %q", l.Site, zones)
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
	out.GatewayFaults = append(slices.Clone(s.GatewayFaults), model.GatewayFault{
		At:       l.At,
		Duration: l.Duration,
		Kind:     "kill",
		Gateway:  -1,
		Site:     slices.Index(zones, l.Site),
	})
	out.Drill.Sites = len(zones)
	return &out, nil
}

// Zones returns the distinct zones of a run's replicas, in the plan's order.
func Zones(s *model.Spec) (zones []string) {
	for i := range s.Groups {
		if !slices.Contains(zones, s.Groups[i].Zone) {
			zones = append(zones, s.Groups[i].Zone)
		}
	}
	return zones
}
