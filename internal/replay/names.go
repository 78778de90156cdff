package replay

import (
	"fmt"
	"strings"
	"time"

	"archknot/balancer"
	"archknot/internal/capture"
	pb "archknot/internal/capture/capturepb"
	"archknot/internal/contract"
)

// Names maps the numbers of replicas and requests to their names, as far as the records read so far contain them.
type Names struct {
	replicas    map[uint32]string
	requests    map[uint32]*pb.Arrival
	arrivalRing []uint32 // requests in the order of arrival, maxNames at most
	ringNext    int      // index of the oldest request in a full ring, which is overwritten next
}

// maxNames bounds the number of requests in Names. The module's own bound is lower.
const maxNames = 1 << 16

// NewNames returns an empty Names.
func NewNames() *Names {
	return &Names{replicas: map[uint32]string{}, requests: map[uint32]*pb.Arrival{}}
}

// AddRecord adds the names that a record contains; it ignores records without names.
func (n *Names) AddRecord(r *pb.Record) {
	switch r.Kind {
	case pb.Kind_KIND_LIST:
		for _, m := range r.List.GetMembers() {
			if m.Name != "" {
				n.replicas[m.Worker] = m.Name
			}
		}
	case pb.Kind_KIND_ARRIVED:
		n.addRequest(r.Request, r.Arrival)
	case pb.Kind_KIND_CHECKPOINT:
		for _, w := range r.Checkpoint.GetWorkers() {
			n.replicas[w.Id] = w.Name
		}
		for _, q := range r.Checkpoint.GetRequests() {
			if n.requests[q.Id] == nil {
				n.addRequest(q.Id, &pb.Arrival{Name: q.Name})
			}
		}
	}
}

// addRequest adds a request and evicts the oldest one if there are maxNames.
func (n *Names) addRequest(id uint32, a *pb.Arrival) {
	n.requests[id] = a
	if len(n.arrivalRing) < maxNames {
		n.arrivalRing = append(n.arrivalRing, id)
		return
	}
	if oldest := n.arrivalRing[n.ringNext]; oldest != id {
		delete(n.requests, oldest)
	}
	n.arrivalRing[n.ringNext] = id
	n.ringNext = (n.ringNext + 1) % maxNames
}

// Replica returns discovery's id of a replica, or "w" and its number if the id is not known.
func (n *Names) Replica(id uint32) string {
	if name := n.replicas[id]; name != "" {
		return name
	}
	return fmt.Sprint("w", id)
}

// Request returns the client's id of a request, or "#" and its number if the id is not known.
func (n *Names) Request(id uint32) string {
	if a := n.requests[id]; a != nil && a.Name != "" {
		return a.Name
	}
	return fmt.Sprint("#", id)
}

// Class returns the class of a request; "" if it is not known.
func (n *Names) Class(id uint32) string { return string(n.requests[id].GetClass()) }

// statusNames are the names of statuses in output and in filters.
var statusNames = [...]string{
	balancer.Served:        "served",
	balancer.Errored:       "error",
	balancer.Shed:          "declined",
	balancer.TimedOut:      "timeout",
	balancer.ConnectFailed: "connect_failed",
	balancer.ConnBroken:    "reset",
	balancer.Cancelled:     "cancelled",
	balancer.NotSent:       "not_sent",
	balancer.Malformed:     "spoilt",
	balancer.Rejected:      "rejected",
}

func statusName(s uint32) string {
	if int(s) < len(statusNames) {
		return statusNames[s]
	}
	return fmt.Sprint("status", s)
}

func eventKindName(k pb.Kind) string { return strings.ToLower(strings.TrimPrefix(k.String(), "KIND_")) }

func actionKindName(k pb.Action_Kind) string { return strings.ToLower(k.String()) }

func toDuration(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

// maxListed bounds the number of replicas in the description of an endpoint list.
const maxListed = 8

// description builds the one-line description of an event.
type description struct{ strings.Builder }

// add appends a space and a formatted part.
func (d *description) add(format string, args ...any) { fmt.Fprintf(d, " "+format, args...) }

// DescribeEvent describes a record in one line.
func (n *Names) DescribeEvent(r *pb.Record) string {
	var d description
	d.WriteString(eventKindName(r.Kind))
	if capture.IsLedgerRecord(r.Kind) {
		n.describeLedgerEvent(&d, r)
	} else {
		n.describeModuleEvent(&d, r)
	}
	return d.String()
}

// describeModuleEvent describes a call to the module, a checkpoint or a gap.
func (n *Names) describeModuleEvent(d *description, r *pb.Record) {
	switch r.Kind {
	case pb.Kind_KIND_ARRIVED:
		a := r.Arrival
		d.add("request=%s class=%s tenant=%s wait=%v prompt=%d prefix=%d max=%d session=%016x", n.Request(r.Request), a.GetClass(),
			a.GetTenant(), toDuration(a.GetTimeLeftUs()), a.GetPromptTokens(), a.GetPrefixTokens(), a.GetMaxTokens(), a.GetSession())
	case pb.Kind_KIND_FIRST, pb.Kind_KIND_ENDED:
		o := r.Outcome
		d.add("request=%s attempt=%d worker=%s elapsed=%v", n.Request(r.Request), o.GetAttempt(), n.Replica(o.GetWorker()), toDuration(o.GetElapsedUs()))
		if r.Kind == pb.Kind_KIND_ENDED {
			d.add("status=%s final=%t kept=%d tokens=%d", statusName(o.GetStatus()), o.GetFinal(), o.GetKept(), o.GetTokens())
		}
		d.WriteString(describeReport(o.GetReport()))
	case pb.Kind_KIND_PROBED:
		o := r.Outcome
		d.add("worker=%s status=%s elapsed=%v", n.Replica(o.GetWorker()), statusName(o.GetStatus()), toDuration(o.GetElapsedUs()))
		d.WriteString(describeReport(o.GetReport()))
	case pb.Kind_KIND_LEFT:
		d.add("request=%s", n.Request(r.Request))
	case pb.Kind_KIND_TIMER:
		d.add("%s", n.describeTimer(r.Token))
	case pb.Kind_KIND_LIST:
		n.describeList(d, r.List)
	case pb.Kind_KIND_MESSAGE:
		d.add("peer=%d bytes=%d", r.Peer, len(r.Body))
	case pb.Kind_KIND_RECONFIGURE:
		if s, err := capture.UnmarshalSettings(r.Settings); err == nil {
			d.add("classes=%d tenants=%d attempts=%d", len(s.Classes), len(s.Tenants), s.MaxAttempts)
		}
	case pb.Kind_KIND_CHECKPOINT:
		c := r.Checkpoint
		d.add("bytes=%d timers=%d", len(c.GetState()), len(c.GetTimers()))
	case pb.Kind_KIND_GAP:
		d.add("events=%d from=%d reason=%q", r.Gap.GetEvents(), r.Gap.GetFromUs(), r.Gap.GetReason())
	}
}

func (n *Names) describeList(d *description, l *pb.List) {
	d.add("kind=%s version=%d entries=%d", listKindName(l.GetKind()), l.GetVersion(), len(l.GetMembers()))
	for i, m := range l.GetMembers() {
		if i == maxListed {
			d.add("...")
			break
		}
		d.add("%s=%s", n.Replica(m.Worker), endpointStateName(m.State))
	}
}

// describeLedgerEvent describes a call to the ledger.
func (n *Names) describeLedgerEvent(d *description, r *pb.Record) {
	switch r.Kind {
	case pb.Kind_KIND_AGREED:
		if a, err := contract.UnmarshalAppliedContracts(r.Agreed); err == nil && len(r.Agreed) > 0 {
			d.add("contracts=%d fresh=%t", len(a.Terms), a.NewLedger)
		} else {
			d.add("contracts=0")
		}
	case pb.Kind_KIND_CHARGED:
		c := r.Charged
		d.add("request=%s copy=%d tenant=%s class=%s prompt=%d made=%d", n.Request(r.Request), c.GetCopy(), c.GetTenant(), c.GetClass(), c.GetPromptTokens(), c.GetMade())
		if c.GetRefuse() {
			d.add("refuse=%s retry_after=%v", c.GetReason(), toDuration(c.GetRetryAfterUs()))
		} else {
			d.add("worth=%v", c.GetWorth())
		}
	case pb.Kind_KIND_SETTLED:
		c := r.Settled
		d.add("request=%s copy=%d read=%d made=%d served=%t", n.Request(r.Request), c.GetCopy(), c.GetRead(), c.GetMade(), c.GetServed())
	case pb.Kind_KIND_TURNED:
		d.add("request=%s tenant=%s over=%t", n.Request(r.Request), r.Turned.GetTenant(), r.Turned.GetOver())
	case pb.Kind_KIND_PARTS:
		d.add("parts=%.4g", r.Parts)
	case pb.Kind_KIND_KEPT:
		d.add("checkpoint=%d %s", r.Kept.GetNumber(), [...]string{"handed over", "written", "failed"}[min(r.Kept.GetStage(), 2)])
	}
}

// describeReport describes a load report; "" if there is none.
func describeReport(r *pb.Report) string {
	if r == nil {
		return ""
	}
	var b strings.Builder
	b.WriteString(" load:")
	sep := ""
	for _, f := range []struct {
		bit  uint8
		name string
		v    float64
	}{
		{balancer.HasMemory, "memory", r.MemoryShare},
		{balancer.HasPrefillBacklog, "unread_k", r.UnreadK},
		{balancer.HasInFlight, "in_flight", r.InFlight},
		{balancer.HasQueued, "queued", r.Queued},
		{balancer.HasService, "service_ms", r.ServiceMs},
		{balancer.HasUtilization, "util", r.Util},
	} {
		if uint8(r.Has)&f.bit != 0 {
			fmt.Fprintf(&b, "%s%s=%.4g", sep, f.name, f.v)
			sep = ","
		}
	}
	return b.String()
}

func listKindName(k uint32) string {
	names := [...]string{"delta", "full", "saved", "failed", "unreachable", "override", "unavailable", "gap", "unknown"}
	return names[min(int(k), len(names)-1)]
}

func endpointStateName(s uint32) string {
	return [...]string{"ready", "draining", "gone", "unknown"}[min(s, 3)]
}

// describeTimer describes the purpose of a timer by its token.
func (n *Names) describeTimer(token uint64) string {
	purpose, id := balancer.TimerPurpose(token)
	if purpose == "tick" {
		return "tick"
	}
	return fmt.Sprintf("%s request=%s", purpose, n.Request(uint32(id)))
}

// DescribeAction describes an action in one line.
func (n *Names) DescribeAction(a *pb.Action) string {
	switch a.Kind {
	case pb.Action_DISPATCH:
		return fmt.Sprintf("dispatch %s to %s", n.Request(a.Request), n.Replica(a.Worker))
	case pb.Action_REFUSE:
		return fmt.Sprintf("refuse %s, come back in %v", n.Request(a.Request), toDuration(a.AtUs))
	case pb.Action_FAIL:
		return "fail " + n.Request(a.Request)
	case pb.Action_CANCEL:
		return fmt.Sprintf("cancel %s attempt %d", n.Request(a.Request), a.Attempt)
	case pb.Action_SET_TIMER:
		return fmt.Sprintf("timer %s in %v", n.describeTimer(a.Token), toDuration(a.AtUs))
	case pb.Action_PROBE:
		return "probe " + n.Replica(a.Worker)
	case pb.Action_TELL_PEERS:
		return fmt.Sprintf("tell peers %d bytes", len(a.Body))
	case pb.Action_WATCH_REGISTRY:
		return "watch the registry"
	}
	return "unknown order"
}

// FormatOffset formats a time on the module's clock as seconds since the start of the run.
func FormatOffset(run *capture.Run, at balancer.Micros) string {
	return fmt.Sprintf("%+.6fs", float64(at-run.Begin())/1e6)
}
