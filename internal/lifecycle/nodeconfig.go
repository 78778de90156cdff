package lifecycle

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"reflect"
	"strconv"

	"archknot/internal/config"
	"archknot/internal/gateway"
	"archknot/internal/httpwire"
)

const (
	defaultName = "gateway"
	defaultSeed = "1"
	// firstSocketFD is the lowest file descriptor after those of the standard streams.
	firstSocketFD = 3
)

// Config is the platform's configuration of one gateway, checked and with defaults applied.
type Config struct {
	Listen string // client address
	// ListenFD is the file descriptor of the clients' listening socket if the platform has opened it
	// (NODE_SOCKET_FD); 0: the gateway opens the socket.
	ListenFD int
	Admin    string // address for operators' calls; "": none
	Cores    int    // value of GOMAXPROCS
	MemoryMB int64  // soft memory limit of the Go runtime, in MiB
	Gateway  gateway.Options

	ReportedUnknownKeys []UnknownKey // the first maxReportedUnknownKeys of the unknown keys
	UnknownKeyCount     int          // number of all unknown keys
	path                string       // of the file that NODE_CONFIG names
}

// nodeConfig is the JSON format of NODE_CONFIG. Other keys are skipped and logged, see findUnknownKeys.
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
	Known    json.RawMessage `json:"known"`    // initial endpoint list, from an earlier response of discovery
	Settings json.RawMessage `json:"settings"` // of the balancer, see simwire.ParseSettings, and transportSettings

	path string // of the file
	text []byte // of the file, to report the position of an invalid value
}

// Load reads the configuration: the file that NODE_CONFIG names, and the other NODE_ variables, which take
// precedence. An error names the invalid key.
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

// Reload reads the configuration again. Unlike in Load, the file's discovery address takes precedence over
// NODE_DISCOVERY: the file may have been replaced, while the variable is as old as the process and may
// still name the previous discovery service. NODE_SOCKET_FD is not read.
func Reload(getenv func(string) string) (Config, error) {
	f, err := readNodeConfig(getenv)
	if err != nil {
		return Config{}, err
	}
	f.Discovery = cmp.Or(f.Discovery, getenv("NODE_DISCOVERY"))
	return f.load()
}

// GatewayOptions returns the options of one of several gateways in a process, from the content of a
// NODE_CONFIG file and the settings. Environment variables are not read.
func GatewayOptions(platform []byte, settings *config.Config) (gateway.Options, error) {
	var f nodeConfig
	if err := json.Unmarshal(platform, &f); err != nil {
		return gateway.Options{}, describeJSONError(err)
	}
	c, err := f.buildConfig()
	if err != nil {
		return gateway.Options{}, err
	}
	c.Gateway.Contracts = contractOptions(settings)
	c.Gateway.Subset = subsetSettings(settings.Subset, &c.Gateway.Settings)
	return c.Gateway, nil
}

// readNodeConfig reads and parses the file, and applies the variables that always take precedence over it.
func readNodeConfig(getenv func(string) string) (nodeConfig, error) {
	var f nodeConfig
	path := getenv("NODE_CONFIG")
	if path == "" {
		return f, errors.New("NODE_CONFIG: not set; expected the path of the configuration file")
	}
	var text []byte
	err := retryTransient(func() (err error) {
		text, err = os.ReadFile(path)
		return err
	})
	if err != nil {
		return f, fmt.Errorf("NODE_CONFIG: %w", err)
	}
	if err := json.Unmarshal(text, &f); err != nil {
		return f, fmt.Errorf("NODE_CONFIG: %s: %w", path, describeJSONError(err))
	}
	f.path = path
	f.text = text
	f.Name = cmp.Or(getenv("NODE_NAME"), f.Name, defaultName)
	f.Listen = cmp.Or(getenv("NODE_LISTEN"), f.Listen)
	f.Admin = cmp.Or(getenv("NODE_ADMIN"), f.Admin)
	return f, nil
}

// describeJSONError names the key and the expected type of a value of the wrong type. Other errors are
// returned unchanged.
func describeJSONError(err error) error {
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		return fmt.Errorf("%s: expected a value of type %s, got a %s", typeError.Field, typeError.Type, typeError.Value)
	}
	return err
}

// parseSocketFD parses NODE_SOCKET_FD, the number of a file descriptor; "" gives 0.
func parseSocketFD(value string) (int, error) {
	if value == "" {
		return 0, nil
	}
	fd, err := strconv.Atoi(value)
	if err != nil || fd < firstSocketFD {
		return 0, fmt.Errorf("NODE_SOCKET_FD: expected a file descriptor of %d or more, got %q", firstSocketFD, value)
	}
	return fd, nil
}

// load checks the configuration and finds its unknown keys. A keyError gets the position of the invalid value.
func (f *nodeConfig) load() (Config, error) {
	c, err := f.buildConfig()
	if err != nil {
		return c, withPosition(f.path, f.text, err)
	}
	c.path = f.path
	c.ReportedUnknownKeys, c.UnknownKeyCount = findUnknownKeys(f.text)
	return c, nil
}

// buildConfig checks all values and derives the options of the gateway. It reports the first invalid value.
func (f *nodeConfig) buildConfig() (Config, error) {
	if err := f.checkAddresses(); err != nil {
		return Config{}, err
	}
	seed, err := strconv.ParseUint(cmp.Or(f.Seed, defaultSeed), 16, 64)
	if err != nil {
		return Config{}, fmt.Errorf("seed: expected up to 16 hex digits, got %q", f.Seed)
	}
	limits, err := f.parseResourceLimits()
	if err != nil {
		return Config{}, err
	}
	c := Config{
		Listen:   f.Listen,
		Admin:    f.Admin,
		Cores:    max(1, int(limits.cores)),
		MemoryMB: int64(limits.memoryMB * heapMemoryFraction),
	}
	o := &c.Gateway
	o.Name, o.Discovery, o.Seed = f.Name, f.Discovery, seed
	if o.Settings, err = f.parseBalancerSettings(); err != nil {
		return c, err
	}
	if o.CachedList, err = f.parseKnownList(); err != nil {
		return c, err
	}
	transport, err := parseTransportSettings(f.Settings)
	if err != nil {
		return c, err
	}
	limits.apply(o, f.Admin != "")
	transport.apply(o)
	return c, nil
}

// checkAddresses checks that the addresses have the form host:port.
func (f *nodeConfig) checkAddresses() error {
	for _, address := range []struct{ key, value string }{{"listen", f.Listen}, {"discovery", f.Discovery}} {
		if !isHostPort(address.value) {
			return fmt.Errorf("%s: expected host:port, got %q", address.key, address.value)
		}
	}
	if f.Admin != "" && !isHostPort(f.Admin) {
		return newKeyError("admin", "expected host:port, got %q", f.Admin)
	}
	return nil
}

func isHostPort(address string) bool {
	_, port, err := net.SplitHostPort(address)
	return err == nil && port != ""
}

// parseKnownList parses the initial endpoint list. Without one it returns an empty list of NoGeneration.
func (f *nodeConfig) parseKnownList() (httpwire.EndpointList, error) {
	if len(f.Known) == 0 || string(f.Known) == "null" {
		return httpwire.EndpointList{Generation: httpwire.NoGeneration}, nil
	}
	list, err := httpwire.ParseList(f.Known)
	if err != nil {
		return list, fmt.Errorf("known: %w", err)
	}
	return list, nil
}

// restartKeys returns the changed keys that take effect only at a restart: a reload applies only the
// discovery address of NODE_CONFIG.
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
		{"settings", c.hasSameSettings(next)},
	} {
		if !k.same {
			keys = append(keys, k.key)
		}
	}
	return keys
}

func (c Config) hasSameSettings(next Config) bool {
	return reflect.DeepEqual(c.Gateway.Settings, next.Gateway.Settings) &&
		c.Gateway.MaxInFlight == next.Gateway.MaxInFlight &&
		c.Gateway.ConnectTimeout == next.Gateway.ConnectTimeout &&
		c.Gateway.WatchWait == next.Gateway.WatchWait
}
