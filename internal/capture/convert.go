package capture

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"archknot/balancer"
	pb "archknot/internal/capture/capturepb"
)

// maxNameBytes bounds the client's and discovery's ids that a capture stores.
const maxNameBytes = 256

// reportToProto fills in the stored form of a load report and returns it; nil if the report is empty.
func reportToProto(to *pb.Report, report *balancer.LoadReport) *pb.Report {
	if report.Has == 0 {
		return nil
	}
	to.Has = uint32(report.Has)
	to.MemoryShare = report.MemoryShare
	to.UnreadK = report.PrefillBacklogK
	to.InFlight = report.InFlight
	to.Queued = report.Queued
	to.ServiceMs = report.ServiceMs
	to.Util = report.Utilization
	return to
}

// ReportFromProto converts a stored load report; nil gives an empty one.
func ReportFromProto(r *pb.Report) balancer.LoadReport {
	if r == nil {
		return balancer.LoadReport{}
	}
	return balancer.LoadReport{
		Has:             uint8(r.Has),
		MemoryShare:     r.MemoryShare,
		PrefillBacklogK: r.UnreadK,
		InFlight:        r.InFlight,
		Queued:          r.Queued,
		ServiceMs:       r.ServiceMs,
		Utilization:     r.Util,
	}
}

// outcomeToProto fills in and returns the stored form of an outcome. It uses report for the outcome's load report.
func outcomeToProto(to *pb.Outcome, report *pb.Report, o *balancer.Outcome) *pb.Outcome {
	to.Attempt = int64(o.Attempt)
	to.Worker = uint32(o.Replica)
	to.Status = uint32(o.Status)
	to.ElapsedUs = o.Elapsed
	to.Final = o.Final
	to.Kept = int64(o.CachedTokens)
	to.Tokens = int64(o.OutputTokens)
	to.ConnAgeUs = o.ConnAge
	to.Report = reportToProto(report, &o.Report)
	return to
}

func outcomeFromProto(id balancer.RequestID, o *pb.Outcome) balancer.Outcome {
	return balancer.Outcome{
		ID:           id,
		Attempt:      int(o.GetAttempt()),
		Replica:      balancer.ReplicaID(o.GetWorker()),
		Status:       balancer.Status(o.GetStatus()),
		Elapsed:      o.GetElapsedUs(),
		Final:        o.GetFinal(),
		CachedTokens: int(o.GetKept()),
		OutputTokens: int(o.GetTokens()),
		ConnAge:      o.GetConnAgeUs(),
		Report:       ReportFromProto(o.GetReport()),
	}
}

// arrivalToProto fills in and returns the stored form of a request. The name is the client's id of the request.
func arrivalToProto(to *pb.Arrival, in *balancer.Request, name string) *pb.Arrival {
	to.Class = append(to.Class[:0], in.Class...)
	to.Tenant = append(to.Tenant[:0], in.Tenant...)
	to.TimeLeftUs = in.TimeLeft
	to.Name = sanitizeName(name)
	to.PromptTokens = int64(in.PromptTokens)
	to.PrefixTokens = int64(in.PrefixTokens)
	to.MaxTokens = int64(in.MaxTokens)
	to.Session = in.Session
	to.Prefix = in.Prefix
	to.Factor = in.PriorityFactor
	to.Spent = int64(in.PriorAttempts)
	to.Home = uint32(in.AffinityTarget)
	return to
}

func arrivalFromProto(id balancer.RequestID, a *pb.Arrival) balancer.Request {
	return balancer.Request{
		ID:             id,
		Class:          string(a.GetClass()),
		Tenant:         string(a.GetTenant()),
		TimeLeft:       a.GetTimeLeftUs(),
		PromptTokens:   int(a.GetPromptTokens()),
		PrefixTokens:   int(a.GetPrefixTokens()),
		MaxTokens:      int(a.GetMaxTokens()),
		Session:        a.GetSession(),
		Prefix:         a.GetPrefix(),
		PriorityFactor: a.GetFactor(),
		PriorAttempts:  int(a.GetSpent()),
		AffinityTarget: balancer.ReplicaID(a.GetHome()),
	}
}

// endpointListToProto returns the stored form of an endpoint list, with the names of its replicas.
func endpointListToProto(l *balancer.EndpointList, name func(balancer.ReplicaID) string) *pb.List {
	out := &pb.List{
		Kind:    uint32(l.Kind),
		Version: l.Version,
		Fleet:   int64(l.FleetSize),
		AsOfUs:  l.AsOf,
		Members: make([]*pb.Member, len(l.Endpoints)),
	}
	for i, e := range l.Endpoints {
		out.Members[i] = &pb.Member{
			Worker:  uint32(e.Replica),
			State:   uint32(e.State),
			Weight:  e.Weight,
			Cell:    e.Cell,
			Kind:    []byte(e.Kind),
			Zone:    []byte(e.Zone),
			SinceUs: e.StartedAt,
			Name:    sanitizeName(name(e.Replica)),
		}
	}
	return out
}

func endpointListFromProto(l *pb.List) balancer.EndpointList {
	out := balancer.EndpointList{
		Kind:      balancer.ListKind(l.GetKind()),
		Version:   l.GetVersion(),
		FleetSize: int(l.GetFleet()),
		AsOf:      l.GetAsOfUs(),
	}
	for _, m := range l.GetMembers() {
		out.Endpoints = append(out.Endpoints, balancer.Endpoint{
			Replica:   balancer.ReplicaID(m.Worker),
			State:     balancer.EndpointState(m.State),
			Weight:    m.Weight,
			Cell:      m.Cell,
			Kind:      string(m.Kind),
			Zone:      string(m.Zone),
			StartedAt: m.SinceUs,
		})
	}
	return out
}

// sanitizeName truncates a name to maxNameBytes and replaces invalid UTF-8, which protobuf strings must not contain.
// Names are for display only: the inputs of the module's decisions are recorded unchanged.
func sanitizeName(s string) string {
	if len(s) > maxNameBytes {
		s = s[:maxNameBytes]
	}
	return strings.ToValidUTF8(s, "\ufffd")
}

// Apply repeats a recorded call of the module. It ignores checkpoints, gaps and calls of the ledger, and returns an
// error for a record of unknown kind and for settings that cannot be parsed.
func Apply(m Module, now balancer.Micros, r *pb.Record) error {
	id := balancer.RequestID(r.Request)
	switch r.Kind {
	case pb.Kind_KIND_START:
		m.Start(now)
	case pb.Kind_KIND_LIST:
		m.ListChanged(now, endpointListFromProto(r.List))
	case pb.Kind_KIND_ARRIVED:
		m.RequestArrived(now, arrivalFromProto(id, r.Arrival))
	case pb.Kind_KIND_FIRST:
		m.FirstToken(now, outcomeFromProto(id, r.Outcome))
	case pb.Kind_KIND_ENDED:
		m.AttemptEnded(now, outcomeFromProto(id, r.Outcome))
	case pb.Kind_KIND_LEFT:
		m.ClientGone(now, id)
	case pb.Kind_KIND_TIMER:
		m.TimerFired(now, r.Token)
	case pb.Kind_KIND_PROBED:
		m.HealthCheckEnded(now, outcomeFromProto(id, r.Outcome))
	case pb.Kind_KIND_MESSAGE:
		m.PeerMessage(now, int(r.Peer), r.Body)
	case pb.Kind_KIND_RECONFIGURE:
		s, err := UnmarshalSettings(r.Settings)
		if err != nil {
			return err
		}
		_ = m.Reconfigure(now, s) // settings rejected during the recording are rejected again, without effect
	case pb.Kind_KIND_CHECKPOINT, pb.Kind_KIND_GAP, pb.Kind_KIND_AGREED, pb.Kind_KIND_CHARGED, pb.Kind_KIND_SETTLED,
		pb.Kind_KIND_PARTS, pb.Kind_KIND_KEPT, pb.Kind_KIND_TURNED:
		// not calls of the module
	default:
		return fmt.Errorf("unknown record kind %d", r.Kind)
	}
	return nil
}

// marshalSettings returns the module's settings as JSON with all fields.
func marshalSettings(s *balancer.Settings) []byte {
	data, err := json.Marshal(s)
	if err != nil {
		panic(err) // only NaN and infinities cannot be encoded, and the settings' validation rejects them
	}
	return data
}

// UnmarshalSettings parses the module's settings as captures store them. An unknown field is an error: without that
// setting, this build could decide differently from the build that made the recording.
func UnmarshalSettings(data []byte) (balancer.Settings, error) {
	var s balancer.Settings
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return s, fmt.Errorf("settings: %w", err)
	}
	return s, nil
}
