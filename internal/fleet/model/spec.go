package model

import (
	"errors"
	"fmt"

	"archknot/balancer"
	"archknot/internal/contract"
	"archknot/internal/fleet/replica"
)

// Group describes replicas of the same kind in one zone.
type Group struct {
	Name   string // name of the kind
	Zone   string
	Count  int
	Weight float64
	Params replica.Params
}

// Stream describes the sessions of one class and tenant.
type Stream struct {
	Class, Tenant            string
	RequestsPerSecond        float64 // sum over all gateways
	Turns                    float64 // mean number of turns in a session
	ThinkSeconds             float64 // median time between two turns
	PromptTokens             float64 // median number of new tokens in a turn
	AnswerTokens             float64 // median number of tokens in an answer
	Spread                   float64 // standard deviation of the logarithms of lengths and think times
	MaxOutputTokens          int
	Prefixes                 int     // number of shared prefixes; their popularity follows Zipf's law
	PrefixTokens             int     // length of each shared prefix
	FirstTokenTimeoutSeconds float64 // client's timeout for the first token; 0: the class's deadline
	MaxRetries               int     // retries by the client after a rejection
	MaxResumes               int     // requests by the client to resume an interrupted answer (the emulator only)
}

// Kinds of faults.
const (
	FaultSlow            = "slow"
	FaultKill            = "kill"
	FaultDrain           = "drain"
	FaultUnresponsive    = "silent"
	FaultLoseMachine     = "lose"
	FaultFlushCache      = "flush"
	FaultReset           = "reset"
	FaultMalformed       = "spoil"
	FaultDiscovery       = "registry"
	FaultRestartGateways = "restart"
	FaultBurst           = "burst"
	FaultHotPrefix       = "hot"
)

// FaultKinds maps each kind of fault to its description.
var FaultKinds = map[string]string{
	FaultSlow:            "steps take Factor times as long",
	FaultKill:            "the replica's process is killed; it restarts after Duration, warming up",
	FaultDrain:           "discovery lists the replica as draining, and as ready again after Duration",
	FaultUnresponsive:    "the replica accepts requests and sends no responses",
	FaultLoseMachine:     "the replica's machine is lost without notice; discovery removes the replica after Factor seconds, and it restarts after Duration, warming up. If a whole zone is lost, its gateways are killed too",
	FaultFlushCache:      "the replica's cached prompts are evicted",
	FaultReset:           "connections are reset after two tokens of an answer (the emulator only)",
	FaultMalformed:       "answers are malformed after two tokens (the emulator only)",
	FaultDiscovery:       "discovery does not answer",
	FaultRestartGateways: "a fraction Factor of all gateways is killed; they restart after Duration with the endpoint list that they had",
	FaultBurst:           "the arrival rate is multiplied by Factor",
	FaultHotPrefix:       "a fraction Factor of all sessions gets the most popular prefix",
}

// Fault is a fault of replicas, gateways, discovery or traffic that is injected for a time.
type Fault struct {
	At, Duration balancer.Micros // Duration 0: until the end of the run
	Kind         string          // a key of FaultKinds
	Replica      int             // index; -1: all
	Zone         string          // "": any
	Factor       float64         // see FaultKinds
}

// Spec holds all inputs of a run.
type Spec struct {
	Seed                          uint64
	Duration                      balancer.Micros
	WarmUp                        balancer.Micros // requests that are sent earlier are not counted
	Gateways                      int
	Settings                      balancer.Settings // Self, Gateways, Zone, Zones and Kinds are set by the run
	Groups                        []Group
	Streams                       []Stream
	Faults                        []Fault
	SameZoneDelay, CrossZoneDelay balancer.Micros // one-way network delays; each message varies by up to 20%
	PollWait                      balancer.Micros // maximum duration of a discovery watch
	DiscoveryServiceTime          balancer.Micros // discovery's processing time of a call that begins a watch; 0: none
	Contracts                     []contract.Terms
	LedgerSettings                contract.Settings
	Capture                       string // directory for the gateways' captures; "": no capture
	WindowLength                  balancer.Micros
	SubsetSize                    int // maximum number of replicas in a gateway's subset; 0: all
	Drill                         Drill
	GatewayFaults                 []GatewayFault // only in drills, which run gateway processes
}

// Drill holds the settings of drills, which run gateway processes.
type Drill struct {
	Peers         bool            // gateways take over each other's requests
	GossipRelays  bool            // gossip passes through relays, which inject network faults
	RequestCopies int             // number of gateways that store a copy of each request
	MaxRecords    int             // maximum number of other gateways' requests that a gateway stores
	Sites         int             // number of sites, to which gateways are assigned in turn
	MemoryMB      int             // memory limit of a gateway, in megabytes
	MaxFiles      int             // file descriptor limit of a gateway
	SettleTime    balancer.Micros // from the last gateway's start to the beginning of the traffic

	// FleetSize is the number of gateways in the settings, of which Spec.Gateways run; 0: Spec.Gateways.
	FleetSize int

	Operators      bool // gateways have an admin address, and a directory that persists across restarts
	SharedListener bool // successive incarnations of a gateway share its listening socket
}

// GatewayFault is a fault of gateways or of the network between them that a drill injects.
type GatewayFault struct {
	At, Duration    balancer.Micros // Duration 0: until the end of the run
	Kind            string          // a key of GatewayFaultKinds
	Gateway         int             // index; -1: selected by GatewayFraction and Site, or the gateway that serves the request selected by When
	GatewayFraction float64         // fraction of all gateways; 0: all
	Site            int             // only gateways of this site; -1: any
	When            string          // "" or "at": at At; otherwise when a request reaches this state
	Nth             int             // number of the request that triggers When
	Factor          float64         // see GatewayFaultKinds
}

// GatewayFaultKinds maps each kind of gateway fault to its description.
var GatewayFaultKinds = map[string]string{
	"kill":   "SIGKILL; started again after Duration",
	"term":   "SIGTERM; started again after Duration",
	"freeze": "SIGSTOP, and SIGCONT after Duration",
	"cut":    "no datagrams pass between the affected gateways and the others",
	"mute":   "no datagrams pass from the affected gateways to the others",
	"deaf":   "no datagrams pass from the others to the affected gateways",
	"lose":   "a fraction Factor of all datagrams is lost",
	"slow":   "datagrams take up to Factor milliseconds longer, and are reordered",
}

// Limits enforced by Check.
const (
	maxGateways = 10_000
	maxReplicas = 100_000
)

// Check returns an error that describes the first invalid part of the Spec, or nil.
func (s *Spec) Check() error {
	replicas := 0
	for i := range s.Groups {
		if err := s.Groups[i].Params.Check(); err != nil {
			return fmt.Errorf("workers %q: %w", s.Groups[i].Name, err)
		}
		replicas += s.Groups[i].Count
	}
	switch {
	case s.Duration <= 0 || s.WarmUp < 0 || s.WarmUp >= s.Duration:
		return fmt.Errorf("for %d us, warm %d us: expected for above 0, and warm at least 0 and below for", s.Duration, s.WarmUp)
	case s.Gateways < 1 || s.Gateways > maxGateways || replicas < 1 || replicas > maxReplicas:
		return fmt.Errorf("%d gateways, %d replicas: expected 1 to 10000 gateways and 1 to 100000 replicas", s.Gateways, replicas)
	case len(s.Streams) == 0:
		return errors.New("no traffic: expected at least one stream")
	case s.SameZoneDelay < 0 || s.CrossZoneDelay < 0 || s.PollWait <= 0:
		return errors.New("invalid network delay or poll wait: expected delays of at least 0 and a poll wait above 0")
	}
	for i := range s.Streams {
		if err := s.checkStream(&s.Streams[i]); err != nil {
			return err
		}
	}
	for _, f := range s.Faults {
		if _, ok := FaultKinds[f.Kind]; !ok {
			return fmt.Errorf("fault %q: unknown kind", f.Kind)
		}
		if f.At < 0 || f.Duration < 0 || f.Replica >= replicas {
			return fmt.Errorf("fault %q: expected at and for of at least 0, and the index of an existing replica", f.Kind)
		}
	}
	return nil
}

func (s *Spec) checkStream(t *Stream) error {
	if s.ClassOf(t) == nil {
		return fmt.Errorf("traffic of class %q, which the settings do not have", t.Class)
	}
	validRates := t.RequestsPerSecond > 0 && t.RequestsPerSecond < 1e7 && t.Turns >= 1 && t.ThinkSeconds >= 0
	validLengths := t.PromptTokens >= 1 && t.AnswerTokens >= 1 && t.Spread >= 0 && t.Spread < 4 && t.MaxOutputTokens >= 1
	if !validRates || !validLengths {
		return fmt.Errorf("traffic of class %q: rate, turns, think time, spread or a length is out of range", t.Class)
	}
	return nil
}
