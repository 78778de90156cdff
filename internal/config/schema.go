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

// schema returns all sections of the settings, bound to c. `archknot config show` prints
// them in this order, with these texts.
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

func logGroup(log *Log) keyGroup {
	return keyGroup{
		name: "log",
		doc:  "What is written to standard error.",
		keys: []keySpec{
			enumKey("level", &log.Level, "info", "the lowest level that is logged", "debug", "info", "warn", "error"),
		},
	}
}

func controlGroup(control *Control) keyGroup {
	return keyGroup{
		name: "control",
		doc:  "The Unix socket for commands of operators on this machine, such as `archknot capture save`.",
		keys: []keySpec{
			pathKey("socket", &control.Socket, "path of the socket, created with mode 0600; no socket if not given"),
		},
	}
}

func captureGroup(capture *Capture) keyGroup {
	return keyGroup{
		name: "capture",
		doc:  "A recording of all events that the decision module receives and of its actions: see docs/operate/capture.md.",
		keys: []keySpec{
			boolKey("record", &capture.Record, "off", "whether to record"),
			pathKey("directory", &capture.Directory, "the directory of the segments; required to record"),
			durationKey("checkpoint", &capture.CheckpointInterval, "15s", time.Second, 10*time.Minute, "interval of checkpoints of the module's complete state; a replay can start at each"),
			sizeKey("block", &capture.BlockSize, "32KiB", 4<<10, 1<<20, "data that is compressed and checksummed together; damage loses at least one block"),
			durationKey("flush", &capture.FlushInterval, "1s", 10*time.Millisecond, time.Minute, "how long a record may wait for its block to fill; a crash loses no more than that"),
			intKey("queue", &capture.QueueBlocks, "8", 2, 1024, "blocks that may wait for the disk; beyond that records are lost, and the capture has a gap"),
			sizeKey("segment-size", &capture.SegmentSize, "8MiB", 64<<10, 1<<30, "a segment is closed when it reaches this size"),
			durationKey("segment-age", &capture.SegmentAge, "1m", time.Second, 24*time.Hour, "a segment is closed when it reaches this age"),
			sizeKey("keep-size", &capture.KeepSize, "64MiB", 256<<10, 1<<40, "the oldest segments are deleted when all together are larger"),
			durationKey("keep-age", &capture.KeepAge, "15m", 10*time.Second, 366*24*time.Hour, "segments that are older are deleted"),
		},
	}
}

func incidentGroup(incident *Incident) keyGroup {
	return keyGroup{
		name: "incident",
		doc:  "When the last minutes of the capture are saved automatically.",
		keys: []keySpec{
			pathKey("directory", &incident.Directory, "the directory of the incidents; by default `incidents` in the capture's directory"),
			intKey("keep", &incident.MaxIncidents, "8", 1, 1000, "number of incidents kept; the oldest are deleted first"),
			durationKey("window", &incident.Window, "5m", 5*time.Second, 24*time.Hour, "how much of the capture before the trigger is saved"),
			durationKey("pause", &incident.MinInterval, "2m", time.Second, 24*time.Hour, "minimum time between two automatic incidents"),
			durationKey("over", &incident.EvaluationWindow, "10s", time.Second, 10*time.Minute, "the interval over which the shares below are computed"),
			intKey("least", &incident.MinRequests, "50", 1, 1_000_000, "minimum number of requests in that interval; with fewer nothing triggers"),
			fractionKey("unserved", &incident.UnservedFraction, "40%", "share of late, shed, failed and abandoned requests that triggers; 0%: never"),
			floatKey("slow-factor", &incident.SlowFactor, "2", 0, 100, "a replica is slow when its first tokens take this many times as long as usual; 0: never"),
			fractionKey("slow-workers", &incident.SlowReplicaFraction, "80%", "share of slow replicas that triggers, among those that answered in the interval"),
			durationKey("near-deadline", &incident.NearDeadline, "500us", 0, time.Second, "a final answer less than this before the client's deadline triggers: the deadline was almost missed; 0s: never"),
		},
	}
}

func contractsGroup(contracts *Contracts) keyGroup {
	return keyGroup{
		name: "contracts",
		doc:  "Settings of all contracts; each team's contract is a section [contract TEAM]: docs/operate/contracts.md.",
		keys: []keySpec{
			timeZoneKey("zone", &contracts.TimeZone, "UTC", "time zone of days and quarters, such as Australia/Hobart"),
			durationKey("pool", &contracts.BorrowPool, "1s", 0, time.Minute, "how much unused quota idle teams may save up for others, as time at the sum of all rates; for as long after its owner is back, lent quota may still be used"),
			floatKey("others", &contracts.UnknownTenantWeight, "0.05", -1, 1000, "priority weight of tenants without a contract; -1 rejects them"),
			pathKey("store", &contracts.StorePath, "the file that stores balances across restarts and kills; not stored if not given"),
			fractionKey("reserve", &contracts.ReserveFraction, "1%", "share of a budget that is stored as used in advance: the most that a kill may cost a team"),
			boolKey("strict", &contracts.Strict, "off", "reject what the store has not yet recorded as used"),
			enumKey("split", &contracts.Split, "whole", "how this gateway determines its share of each contract: all of it (it is the only gateway), equal shares, as the front distributes all requests, or as it sees each team's", "whole", "equal", "front", "alone"),
			intKey("gateways", &contracts.Gateways, "1", 1, 10_000, "number of gateways, for equal shares"),
		},
	}
}

func metricsGroup(metrics *Metrics) keyGroup {
	return keyGroup{
		name: "metrics",
		doc:  "The gateway's metrics in the Prometheus format, over HTTP at /metrics.",
		keys: []keySpec{
			pathKey("listen", &metrics.Listen, "host:port; none if not given"),
			intKey("teams", &metrics.MaxTeams, "200", 1, 10_000, "teams with metrics of their own; the others are summed up as one"),
		},
	}
}

func peersGroup(peers *Peers) keyGroup {
	return keyGroup{
		name: "peers",
		doc:  "The link to the other gateways, which take over the requests of a lost one: docs/operate/takeover.md. Off without an address.",
		keys: []keySpec{
			pathKey("listen", &peers.Listen, "host:port for datagrams of other gateways and for their health checks; none if not given"),
			pathKey("advertise", &peers.Advertise, "host:port at which other gateways reach this one, if it differs"),
			pathKey("site", &peers.Zone, "the gateway's zone: backups of its requests are chosen in other zones first"),
			pathKey("join", &peers.Join, "host:port of some other gateways, separated by commas"),
			intKey("copies", &peers.Backups, "5", 1, 8, "gateways that record each request"),
			durationKey("silence", &peers.ReplyTimeout, "150ms", 10*time.Millisecond, 5*time.Second, "timeout of another gateway's answer"),
			durationKey("remember", &peers.RecordTTL, "30s", 2*time.Second, 10*time.Minute, "how long a request stays recorded after its gateway's last message about it"),
			durationKey("frozen", &peers.FreezeThreshold, "500ms", 100*time.Millisecond, time.Minute, "a pause of the gateway's own process after which it checks that it still holds the leases of its requests"),
			durationKey("hand-over", &peers.HandOverDelay, "2s", 0, time.Minute, "how long after SIGTERM requests go on here before they are handed over"),
			intKey("records", &peers.MaxRecords, "4096", 16, 100_000, "requests of other gateways that are recorded at once"),
			intKey("records-each", &peers.MaxRecordsPerGateway, "1024", 16, 100_000, "requests of one other gateway that are recorded at once"),
		},
	}
}

func subsetGroup(settings *Subset) keyGroup {
	return keyGroup{
		name: "subset",
		doc:  "The subset of a large fleet that this gateway uses: docs/operate/subsets.md.",
		keys: []keySpec{
			intKey("most", &settings.MaxReplicas, strconv.Itoa(subset.DefaultMaxReplicas), 0, 100_000, "maximum number of replicas it uses, 16 or more; endpoint lists up to this size are used completely; 0: all lists are"),
			fractionKey("remote", &settings.RemoteFraction, "25%", "share of the subset that is drawn from all zones alike: what remains if the gateway's own zone is lost"),
			intKey("index", &settings.GatewayIndex, "-1", -1, 10_000_000, "its index among the gateways, or among those of its zone; -1: the platform's"),
		},
	}
}

func controlServiceGroup(service *ControlService) keyGroup {
	return keyGroup{
		name: "control-service",
		doc:  "The control service that streams numbered versions of the configuration: docs/operate/streamed-configuration.md.",
		keys: []keySpec{
			pathKey("address", &service.Address, "host:port; nothing is streamed if not given"),
			enumKey("form", &service.Protocol, "world", "the stream's protocol: all resources each time, or changes only", "world", "delta"),
			pathKey("cert", &service.Cert, "the gateway's certificate (PEM); required except for loopback addresses"),
			pathKey("key", &service.Key, "private key of that certificate"),
			pathKey("ca", &service.CA, "certificate authorities that may have issued the service's certificate (PEM)"),
			pathKey("name", &service.ServerName, "server name that the service's certificate must have, if not the address's host"),
			pathKey("store", &service.StorePath, "where the last good version and the history are stored; nothing is stored if not given"),
			durationKey("between", &service.MinInterval, "1s", 0, time.Hour, "minimum time from one applied version to the next"),
			durationKey("stall", &service.StallTimeout, "10s", time.Second, time.Hour, "how long a version may stay incomplete before the stream is closed"),
		},
	}
}
