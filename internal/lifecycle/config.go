// Package lifecycle starts and stops the gateway. It is the one place where
// configuration is read, checked and given defaults.
package lifecycle

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"reflect"
	"slices"
	"strconv"
	"time"

	"archknot/balancer"
	"archknot/internal/adminapi"
	"archknot/internal/config"
	"archknot/internal/gateway"
	"archknot/internal/httpwire"
	"archknot/internal/simwire"
)

// Config is what a gateway is told, checked and complete.
type Config struct {
	Listen string
	// ListenFD is the descriptor of the clients' listening socket where the platform
	// holds it and hands it on (NODE_SOCKET_FD); 0: the gateway listens itself.
	ListenFD int
	Admin    string // where operators call; "": nowhere
	Cores    int
	MemoryMB int64
	Gateway  gateway.Options

	ReportedUnknownKeys []UnknownKey // the first of the keys that the program does not serve
	UnknownKeyCount     int          // and how many there are
	path                string       // of NODE_CONFIG
}

// nodeConfig is the form of NODE_CONFIG. Keys that it does not name are skipped, and told: see findUnknownKeys.
type nodeConfig struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Admin     string `json:"admin"`
	Seed      string `json:"seed"`
	Limits    struct {
		Cores    *float64 `json:"cores"`
		MemoryMB *float64 `json:"memory_mb"`
		Sockets  *float64 `json:"sockets"`
	} `json:"limits"`
	Known    json.RawMessage `json:"known"`
	Settings json.RawMessage `json:"settings"`

	path string // where it was read, and its text: errors tell the line
	text []byte
}

// Defaults, and the shares of the limits that go to each use.
const (
	defaultCores    = 1
	defaultMemoryMB = 192
	defaultSockets  = 1024
	minMemoryMB     = 16
	minSockets      = 64

	// Of the sockets, some are for the listener, the registry, the log and the
	// runtime; a part is for connections that are only told that the gateway is
	// full. Of the rest a client's request takes one, and its attempts one
	// each, mostly one in all.
	reservedSockets = 16
	// Operators' calls need theirs, with a listener, the saved orders and a successor's look at them.
	adminSockets                                      = adminapi.MaxConnections + 4
	clientConnShare, spareConnShare, replicaConnShare = 0.44, 0.03, 0.5
	// Of the memory, what request bodies may take up at once, and where the
	// garbage collector begins to work harder.
	bodyMemoryShare, heapMemoryShare = 0.2, 0.7
	// What discovery's list may take up of the memory, and what an entry of it does: its strings,
	// its places in maps, the decision module's row.
	endpointListMemoryShare, endpointBytes = 0.2, 1024
	// What the operators' front and the protocol allow at a planned restart:
	// connections come for up to 0.4 s, and nothing may arrive after 0.7 s.
	drainAcceptPeriod = 550 * time.Millisecond
	// A worker's second answer to a request may come some milliseconds behind the first.
	connReuseDelay = 20 * time.Millisecond
)

// Load reads the configuration: the file that NODE_CONFIG names, and the other
// variables, which go before it. An error names the key at fault.
func Load(getenv func(string) string) (Config, error) {
	f, err := readNodeConfig(getenv)
	if err != nil {
		return Config{}, err
	}
	f.Discovery = cmp.Or(getenv("NODE_DISCOVERY"), f.Discovery)
	c, err := f.load()
	if err != nil {
		return c, err
	}
	c.ListenFD, err = parseSocketFD(getenv("NODE_SOCKET_FD"))
	return c, err
}

// load checks the file, and finds what of it is not known.
func (f *nodeConfig) load() (Config, error) {
	c, err := f.buildConfig()
	if err != nil {
		return c, withPosition(f.path, f.text, err)
	}
	c.path = f.path
	c.ReportedUnknownKeys, c.UnknownKeyCount = findUnknownKeys(f.text)
	return c, nil
}

// Reload reads the configuration anew. The file's registry now goes before
// NODE_DISCOVERY: the file is what was replaced, the variable is as old as the
// process and names the registry that was left.
func Reload(getenv func(string) string) (Config, error) {
	f, err := readNodeConfig(getenv)
	if err != nil {
		return Config{}, err
	}
	f.Discovery = cmp.Or(f.Discovery, getenv("NODE_DISCOVERY"))
	return f.load()
}

// GatewayOptions are what a gateway is built with by a platform's configuration and our own settings,
// for one that runs beside others in a process.
func GatewayOptions(platform []byte, own *config.Config) (gateway.Options, error) {
	var f nodeConfig
	if err := json.Unmarshal(platform, &f); err != nil {
		return gateway.Options{}, describeJSONError(err)
	}
	c, err := f.buildConfig()
	if err != nil {
		return gateway.Options{}, err
	}
	c.Gateway.Contracts = contractOptions(own)
	c.Gateway.Subset = subsetSettings(own.Subset, &c.Gateway.Settings)
	return c.Gateway, nil
}

// parseSocketFD reads NODE_SOCKET_FD: the number of a descriptor above those of the
// standard streams, or nothing.
func parseSocketFD(value string) (int, error) {
	if value == "" {
		return 0, nil
	}
	fd, err := strconv.Atoi(value)
	if err != nil || fd < 3 {
		return 0, fmt.Errorf("NODE_SOCKET_FD: expected the number of a descriptor from 3 on, got %q", value)
	}
	return fd, nil
}

func readNodeConfig(getenv func(string) string) (nodeConfig, error) {
	var f nodeConfig
	path := getenv("NODE_CONFIG")
	if path == "" {
		return f, errors.New("NODE_CONFIG: not set; expected the path of the configuration")
	}
	var text []byte
	if err := retryTransient(func() (err error) { text, err = os.ReadFile(path); return err }); err != nil {
		return f, fmt.Errorf("NODE_CONFIG: %v", err)
	}
	if err := json.Unmarshal(text, &f); err != nil {
		return f, fmt.Errorf("NODE_CONFIG: %s: %w", path, describeJSONError(err))
	}
	f.path, f.text = path, text
	f.Name = cmp.Or(getenv("NODE_NAME"), f.Name, "gateway")
	f.Listen = cmp.Or(getenv("NODE_LISTEN"), f.Listen)
	f.Admin = cmp.Or(getenv("NODE_ADMIN"), f.Admin)
	return f, nil
}

// restartKeys names the keys whose new values wait for a restart: a reload moves
// the registry and nothing else.
func (c Config) restartKeys(next Config) []string {
	var keys []string
	for _, k := range []struct {
		key  string
		same bool
	}{
		{"name", c.Gateway.Name == next.Gateway.Name},
		{"listen", c.Listen == next.Listen},
		{"admin", c.Admin == next.Admin},
		{"limits", c.Cores == next.Cores && c.MemoryMB == next.MemoryMB && c.Gateway.MaxClientConns == next.Gateway.MaxClientConns},
		{"settings", reflect.DeepEqual(c.Gateway.Settings, next.Gateway.Settings) && c.Gateway.MaxInFlight == next.Gateway.MaxInFlight &&
			c.Gateway.ConnectTimeout == next.Gateway.ConnectTimeout && c.Gateway.WatchWait == next.Gateway.WatchWait},
	} {
		if !k.same {
			keys = append(keys, k.key)
		}
	}
	return keys
}

func describeJSONError(err error) error {
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) {
		return fmt.Errorf("%s: expected a value of type %s, got a %s", wrong.Field, wrong.Type, wrong.Value)
	}
	return err
}

func (f *nodeConfig) buildConfig() (Config, error) {
	var c Config
	for _, a := range []struct{ key, value string }{{"listen", f.Listen}, {"discovery", f.Discovery}} {
		if _, port, err := net.SplitHostPort(a.value); err != nil || port == "" {
			return c, fmt.Errorf("%s: expected host:port, got %q", a.key, a.value)
		}
	}
	if _, port, err := net.SplitHostPort(f.Admin); f.Admin != "" && (err != nil || port == "") {
		return c, newKeyError("admin", "expected host:port, got %q", f.Admin)
	}
	seed, err := strconv.ParseUint(cmp.Or(f.Seed, "1"), 16, 64)
	if err != nil {
		return c, fmt.Errorf("seed: expected up to 16 hex digits, got %q", f.Seed)
	}
	cores, err := parseLimit("limits.cores", f.Limits.Cores, defaultCores, 0.01)
	if err != nil {
		return c, err
	}
	memory, err := parseLimit("limits.memory_mb", f.Limits.MemoryMB, defaultMemoryMB, minMemoryMB)
	if err != nil {
		return c, err
	}
	sockets, err := parseLimit("limits.sockets", f.Limits.Sockets, defaultSockets, minSockets)
	if err != nil {
		return c, err
	}
	c = Config{Listen: f.Listen, Admin: f.Admin, Cores: max(1, int(cores)), MemoryMB: int64(memory * heapMemoryShare)}
	o := &c.Gateway
	if len(f.Settings) == 0 {
		return c, errors.New("settings: missing")
	}
	if o.Settings, err = simwire.ParseSettings(f.Settings); err != nil {
		return c, err
	}
	if err := adaptSettings(&o.Settings); err != nil {
		return c, err
	}
	o.CachedList.Generation = httpwire.NoGeneration
	if len(f.Known) > 0 && string(f.Known) != "null" {
		if o.CachedList, err = httpwire.ParseList(f.Known); err != nil {
			return c, fmt.Errorf("known: %w", err)
		}
	}
	extra, err := parseTransportSettings(f.Settings)
	if err != nil {
		return c, err
	}
	o.Name, o.Discovery, o.Seed = f.Name, f.Discovery, seed
	usable := sockets - reservedSockets
	if f.Admin != "" {
		usable -= adminSockets
	}
	o.MaxClientConns, o.OverflowConns, o.MaxReplicaConns = int(usable*clientConnShare), int(usable*spareConnShare), int(usable*replicaConnShare)
	o.MaxInFlight = min(extra.Limits.MostHeld, o.MaxClientConns)
	o.MaxBodyBytes = int64(memory * bodyMemoryShare * (1 << 20))
	o.MaxListEntries = int(memory * endpointListMemoryShare * (1 << 20) / endpointBytes)
	o.ConnectTimeout = time.Duration(extra.Limits.ConnectTimeoutUs) * time.Microsecond
	// Well below the workers' own limit: what is written to a connection that
	// they have closed is lost with it.
	o.ReplicaConnIdle = time.Duration(o.Settings.ConnIdleTimeout) * time.Microsecond * 3 / 4
	o.ReplicaConnReuseDelay = connReuseDelay
	o.ClientConnIdle = 15 * time.Second
	o.StreamIdleTimeout = 4 * time.Second
	o.HealthCheckTimeout = 250 * time.Millisecond
	o.PollWithin = time.Duration(extra.Rules.AskWithinUs) * time.Microsecond
	o.WatchWait, o.DiscoveryTimeout = watchTimeouts(&o.Settings, o.PollWithin)
	o.Settings.WatchInterval = o.WatchWait.Microseconds()
	o.DrainAcceptPeriod = drainAcceptPeriod
	return c, nil
}

// watchTimeouts is how long discovery may hold a call for news, and how much longer its answer may
// take. A watch that has fallen silent is noticed after both together.
func watchTimeouts(s *balancer.Settings, askWithin time.Duration) (wait, answer time.Duration) {
	if s.LocalDiscovery { // the agent is on this machine and its answers cost nothing
		return time.Second, 500 * time.Millisecond
	}
	// Longer than discovery has calls wait for their turn: a caller that leaves its queue
	// earlier has wasted the turn and waits anew.
	answer = min(2500*time.Millisecond, askWithin/2)
	// Few gateways ask often, so that whatever becomes of one call the next is answered within
	// the protocol's 6 s; of many, the calls would be too many.
	wait = time.Duration(s.Gateways) * watchIntervalPerGateway
	return min(max(minWatchWait, wait), askWithin-answer, 8*time.Second), answer
}

// watchIntervalPerGateway keeps the calls of all gateways' watches to four a second, where the bounds allow.
const watchIntervalPerGateway, minWatchWait = 250 * time.Millisecond, time.Second

func parseLimit(key string, given *float64, otherwise, least float64) (float64, error) {
	if given == nil {
		return otherwise, nil
	}
	if !(*given >= least) {
		return 0, fmt.Errorf("%s: expected %v or more, got %v", key, least, *given)
	}
	return *given, nil
}

// adaptSettings fits the module's settings to sockets. What would change decisions
// unseen if it were taken as it is, is an error.
func adaptSettings(s *balancer.Settings) error {
	switch {
	case s.Gateways < 1:
		return newKeyError("settings.nInstances", "expected 1 or more, got %d", s.Gateways)
	case s.Self < 0 || s.Self >= s.Gateways:
		return newKeyError("settings.selfIndex", "expected 0 to %d, got %d", s.Gateways-1, s.Self)
	case s.MaxAttempts < 1 || s.MaxAttempts > 100:
		return newKeyError("settings.limits.maxAttempts", "expected 1 to 100, got %d", s.MaxAttempts)
	case s.Tick < 0:
		return newKeyError("settings.tickUs", "expected 0 or more, got %d", s.Tick)
	case s.ConnIdleTimeout <= 0:
		return newKeyError("settings.limits.connIdleUs", "expected above 0, got %d", s.ConnIdleTimeout)
	case s.SlowStartFor > 0 && !(s.InitialCapacity > 0 && s.InitialCapacity <= 1):
		return newKeyError("settings.rules.startCapacity", "expected above 0 and at most 1, got %v", s.InitialCapacity)
	case s.Zone != "" && len(s.Zones) > 0 && !slices.Contains(s.Zones, s.Zone):
		return newKeyError("settings.zone", "expected one of the zones %q, got %q", s.Zones, s.Zone)
	case len(s.Classes) == 0:
		return newKeyError("settings.requestClasses", "missing")
	}
	for _, p := range []struct {
		key   string
		price float64
	}{{"crossZone", s.CrossZoneCost}, {"handshake", s.HandshakeCost}, {"probe", s.HealthCheckCost}} {
		if !(p.price >= 0 && p.price <= 1) {
			return newKeyError("settings.penalties."+p.key, "expected a share of a request's worth from 0 to 1, got %v", p.price)
		}
	}
	for i, c := range s.Classes {
		key := fmt.Sprintf("settings.requestClasses[%d]", i)
		switch {
		case c.Name == "":
			return newKeyError(key+".name", "missing")
		case slices.ContainsFunc(s.Classes[:i], func(o balancer.Class) bool { return o.Name == c.Name }):
			return newKeyError(key+".name", "%q is named twice", c.Name)
		case c.Deadline <= 0:
			return newKeyError(key+".deadlineUs", "expected above 0, got %d", c.Deadline)
		case c.LatencyObjective < 0 || c.LatencyObjective > c.Deadline:
			return newKeyError(key+".targetUs", "expected 0 to the deadline %d, got %d", c.Deadline, c.LatencyObjective)
		case !(c.PriorityWeight >= 0):
			return newKeyError(key+".points", "expected 0 or more, got %v", c.PriorityWeight)
		case !(c.LateWeightShare >= 0 && c.LateWeightShare <= 1):
			return newKeyError(key+".lateShare", "expected 0 to 1, got %v", c.LateWeightShare)
		}
	}
	// limits.retryAfter binds the simulator's wire; on sockets the protocol
	// allows the header, and clients are to be told when to come back.
	s.RetryAfter = s.MaxRetryAfter > 0
	// On sockets discovery speaks only when asked, be it itself or its agent on this machine.
	s.PollDiscovery = true
	// Gateways have no way to talk to each other here.
	s.MayGossip = false
	return nil
}

// transportSettings are those that the sockets need and the module does not.
type transportSettings struct {
	Limits struct {
		ConnectTimeoutUs int64 `json:"connectTimeoutUs"`
		MostHeld         int   `json:"mostHeld"`
	} `json:"limits"`
	Rules struct {
		AskWithinUs int64 `json:"askWithinUs"`
	} `json:"rules"`
}

func parseTransportSettings(text []byte) (transportSettings, error) {
	var s transportSettings
	if err := json.Unmarshal(text, &s); err != nil {
		return s, fmt.Errorf("settings: %w", describeJSONError(err))
	}
	if s.Limits.ConnectTimeoutUs < 0 || s.Limits.MostHeld < 0 || s.Rules.AskWithinUs < 0 {
		return s, errors.New("settings.limits.connectTimeoutUs, limits.mostHeld, rules.askWithinUs: expected 0 or more")
	}
	s.Limits.ConnectTimeoutUs = cmp.Or(s.Limits.ConnectTimeoutUs, 50_000)
	s.Limits.MostHeld = cmp.Or(s.Limits.MostHeld, 20_000)
	s.Rules.AskWithinUs = cmp.Or(s.Rules.AskWithinUs, 10_000_000)
	return s, nil
}
