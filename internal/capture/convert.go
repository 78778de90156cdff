package capture

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"archknot/balancer"
	pb "archknot/internal/capture/capturepb"
)

// The module's words in the capture's form, and back.

func reportToProto(to *pb.Report, r *balancer.LoadReport) *pb.Report {
	if r.Has == 0 {
		return nil
	}
	to.Has, to.MemoryShare, to.UnreadK, to.InFlight = uint32(r.Has), r.MemoryShare, r.PrefillBacklogK, r.InFlight
	to.Queued, to.ServiceMs, to.Util = r.Queued, r.ServiceMs, r.Utilization
	return to
}

// ReportFromProto is the module's form of a report; nil is none.
func ReportFromProto(r *pb.Report) balancer.LoadReport {
	if r == nil {
		return balancer.LoadReport{}
	}
	return balancer.LoadReport{Has: uint8(r.Has), MemoryShare: r.MemoryShare, PrefillBacklogK: r.UnreadK, InFlight: r.InFlight,
		Queued: r.Queued, ServiceMs: r.ServiceMs, Utilization: r.Util}
}

func outcomeToProto(to *pb.Outcome, report *pb.Report, o *balancer.Outcome) *pb.Outcome {
	to.Attempt, to.Worker, to.Status, to.ElapsedUs = int64(o.Attempt), uint32(o.Replica), uint32(o.Status), o.Elapsed
	to.Final, to.Kept, to.Tokens, to.Report = o.Final, int64(o.CachedTokens), int64(o.OutputTokens), reportToProto(report, &o.Report)
	return to
}

func outcomeFromProto(id balancer.RequestID, o *pb.Outcome) balancer.Outcome {
	return balancer.Outcome{ID: id, Attempt: int(o.GetAttempt()), Replica: balancer.ReplicaID(o.GetWorker()),
		Status: balancer.Status(o.GetStatus()), Elapsed: o.GetElapsedUs(), Final: o.GetFinal(), CachedTokens: int(o.GetKept()),
		OutputTokens: int(o.GetTokens()), Report: ReportFromProto(o.GetReport())}
}

func arrivalToProto(to *pb.Arrival, in *balancer.Request, name string) *pb.Arrival {
	to.Class, to.Tenant, to.TimeLeftUs, to.Name = append(to.Class[:0], in.Class...), append(to.Tenant[:0], in.Tenant...), in.TimeLeft, sanitizeName(name)
	to.PromptTokens, to.PrefixTokens, to.MaxTokens = int64(in.PromptTokens), int64(in.PrefixTokens), int64(in.MaxTokens)
	to.Session, to.Prefix, to.Factor, to.Spent = in.Session, in.Prefix, in.PriorityFactor, int64(in.PriorAttempts)
	to.Home = uint32(in.HomeReplica)
	return to
}

func arrivalFromProto(id balancer.RequestID, a *pb.Arrival) balancer.Request {
	return balancer.Request{ID: id, Class: string(a.GetClass()), Tenant: string(a.GetTenant()), TimeLeft: a.GetTimeLeftUs(),
		PromptTokens: int(a.GetPromptTokens()), PrefixTokens: int(a.GetPrefixTokens()), MaxTokens: int(a.GetMaxTokens()),
		Session: a.GetSession(), Prefix: a.GetPrefix(), PriorityFactor: a.GetFactor(), PriorAttempts: int(a.GetSpent()), HomeReplica: balancer.ReplicaID(a.GetHome())}
}

func endpointListToProto(l *balancer.EndpointList, name func(balancer.ReplicaID) string) *pb.List {
	out := &pb.List{Kind: uint32(l.Kind), Version: l.Version, Fleet: int64(l.FleetSize), Members: make([]*pb.Member, len(l.Endpoints))}
	for i, m := range l.Endpoints {
		out.Members[i] = &pb.Member{Worker: uint32(m.Replica), State: uint32(m.State), Weight: m.Weight, Cell: m.Cell,
			Kind: []byte(m.Kind), Zone: []byte(m.Zone), SinceUs: m.StartedAt, Name: sanitizeName(name(m.Replica))}
	}
	return out
}

func endpointListFromProto(l *pb.List) balancer.EndpointList {
	out := balancer.EndpointList{Kind: balancer.ListKind(l.GetKind()), Version: l.GetVersion(), FleetSize: int(l.GetFleet())}
	for _, m := range l.GetMembers() {
		out.Endpoints = append(out.Endpoints, balancer.Endpoint{Replica: balancer.ReplicaID(m.Worker), State: balancer.EndpointState(m.State),
			Weight: m.Weight, Cell: m.Cell, Kind: string(m.Kind), Zone: string(m.Zone), StartedAt: m.SinceUs})
	}
	return out
}

// sanitizeName makes a peer's name fit for a capture, where strings are UTF-8 and names
// bounded. It is for people to read; what the module decides by is kept as it came.
func sanitizeName(s string) string {
	if len(s) > maxNameBytes {
		s = s[:maxNameBytes]
	}
	return strings.ToValidUTF8(s, "\ufffd")
}

const maxNameBytes = 256

// Apply tells the module what a record says; a checkpoint, a gap
// and what is the contracts' book's tell nothing.
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
		_ = m.Reconfigure(now, s) // refused then as now: that changed nothing
	case pb.Kind_KIND_CHECKPOINT, pb.Kind_KIND_GAP, pb.Kind_KIND_AGREED, pb.Kind_KIND_CHARGED, pb.Kind_KIND_SETTLED, pb.Kind_KIND_PARTS, pb.Kind_KIND_KEPT,
		pb.Kind_KIND_TURNED:
		// the contracts' part is no word to the module
	default:
		return fmt.Errorf("a record of kind %d, which this build does not know", r.Kind)
	}
	return nil
}

// marshalSettings writes the module's settings as JSON under the names of its
// fields: complete by construction.
func marshalSettings(s *balancer.Settings) []byte {
	text, err := json.Marshal(s)
	if err != nil {
		panic(err) // plain data: it cannot fail but for a NaN, which no check lets in
	}
	return text
}

// UnmarshalSettings reads settings as a capture has them.
func UnmarshalSettings(text []byte) (balancer.Settings, error) {
	var s balancer.Settings
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields() // a setting that is not understood would decide otherwise
	if err := d.Decode(&s); err != nil {
		return s, fmt.Errorf("settings: %w", err)
	}
	return s, nil
}
