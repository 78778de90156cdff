package faulttest

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"archknot/internal/simwire"
)

// seedNodes is the number of gateways in each gateway's list of peers to join.
const seedNodes = 3

// platformConfig is the content of the platform's configuration file, whose path is in NODE_CONFIG.
type platformConfig struct {
	Discovery string          `json:"discovery"`
	Limits    platformLimits  `json:"limits"`
	Listen    string          `json:"listen"`
	Name      string          `json:"name"`
	Seed      string          `json:"seed"`
	Settings  json.RawMessage `json:"settings"`
}

type platformLimits struct {
	Cores    int `json:"cores"`
	MemoryMB int `json:"memory_mb"`
	Sockets  int `json:"sockets"`
}

// writeConfig writes the platform's and the gateway's own configuration file, and creates the gateway's
// directory for temporary files.
func (c *cluster) writeConfig(n *node) error {
	platform, err := c.platformConfig(n)
	if err != nil {
		return fmt.Errorf("create the platform configuration of %s: %w", n.name, err)
	}
	if err := os.WriteFile(c.path(n, "json"), platform, 0o600); err != nil {
		return err
	}
	if err := os.MkdirAll(c.path(n, "tmp"), 0o700); err != nil {
		return err
	}
	return os.WriteFile(c.path(n, "conf"), []byte(c.ownConfig(n)), 0o600)
}

// platformConfig returns a gateway's platform configuration as JSON.
func (c *cluster) platformConfig(n *node) ([]byte, error) {
	settings := c.spec.Settings
	settings.Gateways = max(c.spec.Gateways, c.spec.Drill.FleetSize)
	settings.Self = n.index
	zones, kinds := map[string]bool{}, map[string]bool{}
	for _, group := range c.spec.Groups {
		if !zones[group.Zone] {
			settings.Zones = append(settings.Zones, group.Zone)
		}
		if !kinds[group.Name] {
			settings.Kinds = append(settings.Kinds, group.Name)
		}
		zones[group.Zone] = true
		kinds[group.Name] = true
	}
	settings.Zone = settings.Zones[n.zone%len(settings.Zones)]
	encoded, err := simwire.MarshalSettings(settings)
	if err != nil {
		return nil, err
	}
	return json.Marshal(platformConfig{
		Discovery: n.discoveryAddr,
		Limits:    platformLimits{Cores: 1, MemoryMB: c.spec.Drill.MemoryMB, Sockets: c.spec.Drill.MaxFiles},
		Listen:    n.addr,
		Name:      n.name,
		Seed:      fmt.Sprintf("%x", c.spec.Seed*1000+uint64(n.index)+1),
		Settings:  encoded,
	})
}

// ownConfig returns a gateway's own configuration in the format of deploy/archknot.conf.
func (c *cluster) ownConfig(n *node) string {
	text := "[log]\nlevel info\n"
	drill := c.spec.Drill
	if !drill.Peers {
		return text
	}
	text += fmt.Sprintf("[peers]\nlisten %s\nsite s%d\ncopies %d\nrecords %d\nrecords-each %d\n",
		n.peerAddr, n.zone, drill.RequestCopies, drill.MaxRecords, drill.MaxRecords)
	if n.relay != nil {
		text += "advertise " + n.relay.addr + "\n"
	}
	var seeds []string
	for _, seed := range c.nodes[:min(seedNodes, len(c.nodes))] {
		seeds = append(seeds, c.advertisedAddr(seed))
	}
	return text + "join " + strings.Join(seeds, ",") + "\n"
}
