package config

import (
	"strconv"
	"time"

	"archknot/internal/subset"
)

// keyGroup is a section of the settings.
type keyGroup struct {
	name, doc string
	keys      []keySpec
}

// schema returns all sections of the settings, bound to c. Their order and texts are
// what `archknot config show` prints.
func schema(c *Config) []keyGroup {
	return []keyGroup{
		logGroup(&c.Log),
		controlGroup(&c.Control),
		captureGroup(&c.Capture),
		incidentGroup(&c.Incident),
		contractsGroup(&c.Contracts),
		metricsGroup(&c.Metrics),
		peersGroup(&c.Peers),
		subsetGroup(&c.Subset),
		controlServiceGroup(&c.ControlService),
	}
}

func logGroup(out *Log) keyGroup {
	return keyGroup{
		name: "log",
		doc:  "What is written to standard error.",
		keys: []keySpec{
			enumKey("level", &out.Level, "info", "the least level that is logged", "debug", "info", "warn", "error"),
		},
	}
}

func controlGroup(control *Control) keyGroup {
	return keyGroup{
		name: "control",
		doc:  "The socket for orders of operators on this machine, such as `archknot capture save`.",
		keys: []keySpec{
			pathKey("socket", &control.Socket, "a Unix socket, made with mode 0600; none if not given"),
		},
	}
}

func captureGroup(capture *Capture) keyGroup {
	return keyGroup{
		name: "capture",
		doc:  "A record of all that the decision module is told and orders: see docs/operate/capture.md.",
		keys: []keySpec{
			boolKey("record", &capture.Record, "off", "whether to record"),
			pathKey("directory", &capture.Directory, "where segments go; needed to record"),
			durationKey("checkpoint", &capture.CheckpointInterval, "15s", time.Second, 10*time.Minute, "how often the module's whole state goes in: a replay can start at each"),
			sizeKey("block", &capture.BlockSize, "32KiB", 4<<10, 1<<20, "what is compressed and checked together; damage costs no less"),
			durationKey("flush", &capture.FlushInterval, "1s", 10*time.Millisecond, time.Minute, "how long a record may wait for its block to fill: a crash costs no more"),
			intKey("queue", &capture.QueueBlocks, "8", 2, 1024, "blocks that may wait for the disk; past that there is a gap"),
			sizeKey("segment-size", &capture.SegmentSize, "8MiB", 64<<10, 1<<30, "a file is closed when it is so large"),
			durationKey("segment-age", &capture.SegmentAge, "1m", time.Second, 24*time.Hour, "or so old"),
			sizeKey("keep-size", &capture.KeepSize, "64MiB", 256<<10, 1<<40, "the oldest files are dropped when all are larger"),
			durationKey("keep-age", &capture.KeepAge, "15m", 10*time.Second, 366*24*time.Hour, "or older"),
		},
	}
}

func incidentGroup(incident *Incident) keyGroup {
	return keyGroup{
		name: "incident",
		doc:  "When the last minutes of the capture are kept by themselves.",
		keys: []keySpec{
			pathKey("directory", &incident.Directory, "where incidents go; by default `incidents` in the capture's directory"),
			intKey("keep", &incident.MaxIncidents, "8", 1, 1000, "incidents kept; the oldest go first"),
			durationKey("window", &incident.Window, "5m", 5*time.Second, 24*time.Hour, "how much before the trigger is kept"),
			durationKey("pause", &incident.MinInterval, "2m", time.Second, 24*time.Hour, "the least time between two that were not ordered"),
			durationKey("over", &incident.EvaluationWindow, "10s", time.Second, 10*time.Minute, "the span that the shares below are taken over"),
			intKey("least", &incident.MinRequests, "50", 1, 1_000_000, "requests in that span below which nothing triggers"),
			shareKey("unserved", &incident.UnservedShare, "40%", "late, refused and failed requests that trigger; 0% never"),
			floatKey("slow-factor", &incident.SlowFactor, "2", 0, 100, "a worker is slow when first tokens take so many times what they usually do there; 0 never"),
			shareKey("slow-workers", &incident.SlowReplicas, "80%", "slow workers that trigger, among those heard of in the span"),
			durationKey("near-deadline", &incident.NearDeadline, "500us", 0, time.Second, "a final answer later than this before the client's deadline triggers: a rule was about to break; 0s never"),
		},
	}
}

func contractsGroup(contracts *Contracts) keyGroup {
	return keyGroup{
		name: "contracts",
		doc:  "What holds for all contracts; each team's stands in a section [contract TEAM]: docs/operate/contracts.md.",
		keys: []keySpec{
			timeZoneKey("zone", &contracts.TimeZone, "UTC", "of days and quarters, such as Australia/Hobart"),
			durationKey("pool", &contracts.BorrowPool, "1s", 0, time.Minute, "how much of all rates together idle shares may save up for others; so long after its owner is back what was lent may still be drawn"),
			floatKey("others", &contracts.UnknownTenantWeight, "0.05", -1, 1000, "the worth of tenants without a contract; -1 refuses them"),
			pathKey("store", &contracts.StorePath, "where balances are kept over restarts and kills; not kept if not given"),
			shareKey("reserve", &contracts.ReserveFraction, "1%", "part of a budget that is written as used before it is: what a kill may cost a team"),
			boolKey("strict", &contracts.Strict, "off", "refuse what the store does not yet know as used"),
			enumKey("split", &contracts.Split, "whole", "how this gateway tells its part of each contract: it is alone, equal parts, as the front spreads all work, or as it sees each team", "whole", "equal", "front", "alone"),
			intKey("gateways", &contracts.Gateways, "1", 1, 10_000, "how many there are, for equal parts"),
		},
	}
}

func metricsGroup(metrics *Metrics) keyGroup {
	return keyGroup{
		name: "metrics",
		doc:  "The gateway's figures in the Prometheus form, over HTTP at /metrics.",
		keys: []keySpec{
			pathKey("listen", &metrics.Listen, "host:port; none if not given"),
			intKey("teams", &metrics.MaxTeams, "200", 1, 10_000, "teams with figures of their own; the others are summed up as one"),
		},
	}
}

func peersGroup(peers *Peers) keyGroup {
	return keyGroup{
		name: "peers",
		doc:  "The link to the other gateways, which go on with what one of them loses: docs/operate/takeover.md. Off without an address.",
		keys: []keySpec{
			pathKey("listen", &peers.Listen, "host:port for datagrams of other gateways and for their probes; none if not given"),
			pathKey("advertise", &peers.Advertise, "host:port where they reach it, if not there"),
			pathKey("site", &peers.Zone, "where the gateway stands: keepers of its work are sought elsewhere first"),
			pathKey("join", &peers.Join, "host:port of some other gateways, with commas between"),
			intKey("copies", &peers.Keepers, "5", 1, 8, "gateways that note each request"),
			durationKey("silence", &peers.ReplyTimeout, "150ms", 10*time.Millisecond, 5*time.Second, "how long another gateway's answer is waited for"),
			durationKey("remember", &peers.RecordTTL, "30s", 2*time.Second, 10*time.Minute, "how long a request is noted after its gateway's last word of it"),
			durationKey("frozen", &peers.FreezeThreshold, "500ms", 100*time.Millisecond, time.Minute, "a gap in the gateway's own time after which it asks whether its work is still its own"),
			durationKey("hand-over", &peers.HandOverDelay, "2s", 0, time.Minute, "how long after SIGTERM work goes on here before others get it"),
			intKey("records", &peers.MaxRecords, "4096", 16, 100_000, "requests of others that are noted at once"),
			intKey("records-each", &peers.MaxRecordsPerGateway, "1024", 16, 100_000, "and for one gateway"),
		},
	}
}

func subsetGroup(settings *Subset) keyGroup {
	return keyGroup{
		name: "subset",
		doc:  "The part of a large fleet that this gateway works with: docs/operate/subsets.md.",
		keys: []keySpec{
			intKey("most", &settings.MaxReplicas, strconv.Itoa(subset.DefaultMaxReplicas), 0, 100_000, "replicas it works with, 16 or more; lists up to so many pass whole; 0: all do"),
			shareKey("remote", &settings.RemoteShare, "25%", "the part that is drawn from all zones alike: what it goes on with if its own is lost"),
			intKey("index", &settings.GatewayIndex, "-1", -1, 10_000_000, "its number among the gateways, or among those of its zone; -1: the platform's"),
		},
	}
}

func controlServiceGroup(service *ControlService) keyGroup {
	return keyGroup{
		name: "control-service",
		doc:  "The control service that numbered versions of the configuration come from: docs/operate/streamed-configuration.md.",
		keys: []keySpec{
			pathKey("address", &service.Address, "host:port; none if not given, and then nothing is streamed"),
			enumKey("form", &service.Protocol, "world", "the stream's form: all resources each time, or changes only", "world", "delta"),
			pathKey("cert", &service.Cert, "the gateway's certificate (PEM); needed but for loopback addresses"),
			pathKey("key", &service.Key, "and its key"),
			pathKey("ca", &service.CA, "who may have issued the service's certificate (PEM)"),
			pathKey("name", &service.ServerName, "that the service's certificate must be for, if not the address's host"),
			pathKey("store", &service.StorePath, "where the last good version and the history are kept; nothing is kept if not given"),
			durationKey("between", &service.MinInterval, "1s", 0, time.Hour, "the least time from one version taken to the next"),
			durationKey("stall", &service.StallTimeout, "10s", time.Second, time.Hour, "how long a version may stay incomplete before the stream is dropped"),
		},
	}
}
