package model

import (
	"fmt"

	"archknot/balancer"
	"archknot/internal/contract"
	"archknot/internal/fleet/replica"
)

// What a run depends on, and its checks.

// Group is some workers alike.
type Group struct {
	Name   string // the kind's
	Zone   string
	Count  int
	Weight float64
	Params replica.Params
}

// Stream is a kind of traffic: sessions of one class and tenant.
type Stream struct {
	Class, Tenant     string
	RequestsPerSecond float64 // requests a second, over all gateways
	Turns             float64 // of a session, on average
	ThinkSeconds      float64 // seconds between two turns, the median
	PromptTokens      float64 // new tokens in a turn, the median
	AnswerTokens      float64 // tokens made, the median
	Spread            float64 // of both, as the deviation of the logarithm
	MaxOutputTokens   int
	Prefixes          int     // shared beginnings, of which the first are the most popular
	PrefixTokens      int     // tokens of them
	PatienceSeconds   float64 // seconds to the first token; 0: the class's deadline
	MaxRetries        int     // by clients, after a refusal
	MaxResumes        int     // asks for the rest of an answer that broke (the emulator alone)
}

// Fault is something that goes wrong for a while.
type Fault struct {
	At, Duration balancer.Micros // For 0: till the end
	Kind         string          // one of Faults
	Replica      int             // -1: all
	Zone         string          // "": of any
	Factor       float64
}

// FaultKinds are the kinds: what they do, and what Factor is.
var FaultKinds = map[string]string{
	"slow":     "steps take Factor times as long",
	"kill":     "the worker is gone at once, and comes back cold after For",
	"drain":    "the worker drains, and is ready again after For",
	"silent":   "the worker takes requests and answers nothing",
	"lose":     "the worker's machine is gone without a word; the registry says so after Factor seconds, and it comes back cold after For. Of a zone: its gateways are killed too",
	"flush":    "what the worker keeps of prompts is forgotten",
	"reset":    "answers break off after two tokens (the emulator alone)",
	"spoil":    "answers cannot be read after two tokens (the emulator alone)",
	"registry": "the registry does not answer",
	"restart":  "a part of Factor of all gateways is killed, and they come back after For with the list as they had it",
	"burst":    "arrivals come Factor times as often",
	"hot":      "a part of Factor of all requests share one beginning",
}

// Spec is all that a run depends on.
type Spec struct {
	Seed                          uint64
	Duration                      balancer.Micros
	WarmUp                        balancer.Micros // what came before is not counted
	Gateways                      int
	Settings                      balancer.Settings // Self, Gateways, zones and kinds are filled in
	Groups                        []Group
	Streams                       []Stream
	Faults                        []Fault
	SameZoneDelay, CrossZoneDelay balancer.Micros // one way within a zone, and between two; a fifth more or less
	PollWait                      balancer.Micros // what a watch of the registry waits at most
	DiscoveryServiceTime          balancer.Micros // the registry's time for a call that begins a watch; 0: none
	Contracts                     []contract.Terms
	LedgerSettings                contract.Settings
	Capture                       string // folder of captures; "": none
	WindowLength                  balancer.Micros
	SubsetSize                    int // replicas that a gateway works with; 0: all
	Drill                         Drill
	Strikes                       []Strike // at gateways, by drills with processes alone
}

// Drill is what a drill with processes needs besides.
type Drill struct {
	Peers         bool            // gateways go on with each other's work
	Relays        bool            // what they say to each other goes through relays, which strikes need
	RequestCopies int             // keepers of each request
	MaxRecords    int             // of others' requests that a gateway keeps
	Sites         int             // gateways are dealt to so many
	MemoryMB      int             // of a gateway, megabytes
	MaxFiles      int             // descriptors
	Settle        balancer.Micros // from the last gateway's start to the traffic

	Operators      bool // gateways have an address for operators, and a folder that lasts
	SharedListener bool // the lives of a gateway share the clients' listening socket
}

// Strike is something that happens to gateways.
type Strike struct {
	At, Duration balancer.Micros // For 0: till the end
	Kind         string          // one of Strikes
	Gateway      int             // -1: by share or site, or that which serves
	Share        float64
	Site         int    // -1: any
	When         string // "": at a time; else when a request is in this state, at the gateway that serves it
	Nth          int    // which request
	Factor       float64
}

// StrikeKinds are the kinds: what they do.
var StrikeKinds = map[string]string{
	"kill":   "SIGKILL; started again after For",
	"term":   "SIGTERM; started again after For",
	"freeze": "SIGSTOP, and SIGCONT after For",
	"cut":    "nothing passes between those struck and the other gateways",
	"mute":   "nothing passes from those struck to the others",
	"deaf":   "nothing passes from the others to those struck",
	"lose":   "a part of Factor of all datagrams is lost",
	"slow":   "datagrams take up to Factor milliseconds more, and pass each other",
}

// Check tells what is wrong with it.
func (s *Spec) Check() error {
	workers := 0
	for i := range s.Groups {
		if err := s.Groups[i].Params.Check(); err != nil {
			return fmt.Errorf("workers %q: %w", s.Groups[i].Name, err)
		}
		workers += s.Groups[i].Count
	}
	switch {
	case s.Duration <= 0 || s.WarmUp < 0 || s.WarmUp >= s.Duration:
		return fmt.Errorf("for %d us, warm %d us: expected some time, and less to warm up", s.Duration, s.WarmUp)
	case s.Gateways < 1 || s.Gateways > 10_000 || workers < 1 || workers > 100_000:
		return fmt.Errorf("%d gateways, %d workers: expected 1 or more, and not too many", s.Gateways, workers)
	case len(s.Streams) == 0:
		return fmt.Errorf("no traffic")
	case s.SameZoneDelay < 0 || s.CrossZoneDelay < 0 || s.PollWait <= 0:
		return fmt.Errorf("times on the way, of a poll: expected 0 or more, and above 0")
	}
	classes := map[string]bool{}
	for _, c := range s.Settings.Classes {
		classes[c.Name] = true
	}
	for _, t := range s.Streams {
		switch {
		case !classes[t.Class]:
			return fmt.Errorf("traffic of class %q, which the settings do not have", t.Class)
		case !(t.RequestsPerSecond > 0 && t.RequestsPerSecond < 1e7 && t.Turns >= 1 && t.ThinkSeconds >= 0 && t.PromptTokens >= 1 && t.AnswerTokens >= 1 && t.Spread >= 0 && t.Spread < 4) || t.MaxOutputTokens < 1:
			return fmt.Errorf("traffic of %q: rates, turns, lengths: expected above 0", t.Class)
		}
	}
	for _, f := range s.Faults {
		if _, ok := FaultKinds[f.Kind]; !ok {
			return fmt.Errorf("fault %q: not known", f.Kind)
		}
		if f.At < 0 || f.Duration < 0 || f.Replica >= workers {
			return fmt.Errorf("fault %q: its time or its worker does not exist", f.Kind)
		}
	}
	return nil
}
