package lifecycle

import (
	"cmp"
	"fmt"
	"log/slog"
	"os"
	"strings"

	"archknot/balancer"
	"archknot/internal/buildinfo"
	"archknot/internal/capture"
	"archknot/internal/capturetrigger"
	"archknot/internal/config"
	"archknot/internal/contract/ledger"
	"archknot/internal/contract/split"
	"archknot/internal/gateway"
	"archknot/internal/maintenance"
	"archknot/internal/peers"
	"archknot/internal/subset"
)

// captureOptions returns the options of the capture; nil if recording is off.
func captureOptions(gatewayName string, settings *config.Config) *gateway.Capture {
	c, incident := settings.Capture, settings.Incident
	if !c.Record {
		return nil
	}
	return &gateway.Capture{
		Writer: capture.WriterOptions{
			Directory:         c.Directory,
			Gateway:           gatewayName,
			Build:             buildinfo.Version(),
			QueueLength:       c.QueueBlocks,
			MaxBytes:          c.KeepSize,
			MaxAge:            c.KeepAge,
			IncidentDirectory: incident.Directory,
			MaxIncidents:      incident.MaxIncidents,
			IncidentWindow:    incident.Window,
			IncidentInterval:  incident.MinInterval,
			Log:               logInfo,
		},
		Recorder: capture.Options{
			CheckpointInterval: c.CheckpointInterval,
			BlockSize:          int(c.BlockSize),
			FlushInterval:      c.FlushInterval,
			SegmentSize:        c.SegmentSize,
			SegmentAge:         c.SegmentAge,
			IncidentInterval:   incident.MinInterval,
			Incident: capturetrigger.Settings{
				Window:              incident.EvaluationWindow.Microseconds(),
				MinRequests:         incident.MinRequests,
				UnservedFraction:    incident.UnservedFraction,
				SlowFactor:          incident.SlowFactor,
				SlowReplicaFraction: incident.SlowReplicaFraction,
				DeadlineMargin:      incident.NearDeadline.Microseconds(),
			},
		},
	}
}

// contractOptions returns the options of the teams' contracts. If the settings have no teams, only the
// contracts of a streamed version are in force.
func contractOptions(settings *config.Config) *gateway.Contracts {
	c := &settings.Contracts
	options := &gateway.Contracts{Teams: c.Teams, Settings: c.LedgerSettings()}
	switch c.Split {
	case "equal":
		options.Split = func() split.Strategy { return split.Equal{Gateways: c.Gateways} }
	case "front":
		options.Split = func() split.Strategy { return &split.Proportional{} }
	case "alone":
		options.Split = func() split.Strategy { return &split.LocalEstimate{} }
	}
	return options
}

// subsetSettings returns the settings for the selection of the gateway's subset of the replicas.
func subsetSettings(c config.Subset, s *balancer.Settings) subset.Settings {
	index := c.GatewayIndex
	if index < 0 {
		index = s.Self
	}
	return subset.Settings{
		MaxReplicas:    c.MaxReplicas,
		GatewayIndex:   index,
		GatewayCount:   s.Gateways,
		Zone:           s.Zone,
		RemoteFraction: c.RemoteFraction,
		WeightIsSize:   s.WeightKind == balancer.WeightNominal,
		SlowStart:      s.SlowStartFor,
	}
}

// startPeers starts the service that connects the gateway to its peers; nil if no peer address is set.
func startPeers(c config.Peers, o gateway.Options, awaitAddress bool) (*peers.Service, error) {
	if c.Listen == "" {
		return nil, nil
	}
	return peers.Start(peers.Options{
		Name:                o.Name,
		ListenAddr:          c.Listen,
		AdvertiseAddr:       c.Advertise,
		Zone:                c.Zone,
		Seeds:               splitCommas(c.Join),
		Backups:             c.Backups,
		Permits:             max(0, o.Settings.MaxAttempts-1),
		ReplyTimeout:        c.ReplyTimeout,
		RecordTTL:           c.RecordTTL,
		FreezeThreshold:     c.FreezeThreshold,
		HandOverDelay:       c.HandOverDelay,
		MaxRecords:          c.MaxRecords,
		MaxRecordsPerHolder: c.MaxRecordsPerGateway,
		RandomSeed:          o.Seed,
		AwaitAddress:        awaitAddress,
	})
}

// splitCommas splits a comma-separated list and drops its empty elements.
func splitCommas(list string) []string {
	return strings.FieldsFunc(list, func(r rune) bool { return r == ',' })
}

// openLedger opens the contract ledger; nil if no path is set. A corrupted ledger is renamed and replaced. Another
// process may have the ledger open if mayBeBusy is set.
func openLedger(path string, mayBeBusy bool) (*ledger.Store, error) {
	if path == "" {
		return nil, nil
	}
	open := ledger.Open
	if mayBeBusy {
		open = ledger.OpenBesidePredecessor
	}
	store, setAside, err := open(path)
	if err != nil {
		return nil, fmt.Errorf("contracts.store: %w", err)
	}
	if setAside != "" {
		slog.Error("contract_ledger_corrupted", "set_aside", setAside)
	}
	return store, nil
}

// openOrders opens the store of maintenance orders; nil if no admin address is set.
func openOrders(c *Config, tempDirectory string) *maintenance.Store {
	if c.Admin == "" {
		return nil
	}
	return maintenance.Open(maintenance.Options{
		Directory: cmp.Or(tempDirectory, os.TempDir()),
		Name:      c.Gateway.Name,
		Listen:    c.Listen,
	})
}
