// Package controlstats defines the statistics of a gateway's control plane that operators query: its endpoint
// list, its subset of the fleet, and the traffic of its connections by purpose.
package controlstats

import (
	"sync/atomic"
	"time"
)

// Purpose is what a connection is used for.
type Purpose uint8

// Purposes of connections. PurposeCount is the number of purposes.
const (
	PurposeDiscovery Purpose = iota
	PurposeHealthCheck
	PurposeAttempt
	PurposeCount int = iota
)

// String returns the purpose's label in metrics and tables.
func (p Purpose) String() string { return [...]string{"discovery", "probe", "attempt"}[p] }

// Meter counts the traffic of connections for one purpose. It is safe for concurrent use.
type Meter struct{ calls, opened, bytesIn, bytesOut atomic.Int64 }

// AddCall counts the start of a call; opened is true if the call opened a new connection.
func (m *Meter) AddCall(opened bool) {
	m.calls.Add(1)
	if opened {
		m.opened.Add(1)
	}
}

// AddBytesIn counts received bytes. It does nothing on a nil Meter.
func (m *Meter) AddBytesIn(n int) {
	if m != nil {
		m.bytesIn.Add(int64(n))
	}
}

// AddBytesOut counts sent bytes. It does nothing on a nil Meter.
func (m *Meter) AddBytesOut(n int) {
	if m != nil {
		m.bytesOut.Add(int64(n))
	}
}

// Traffic holds the counts of a Meter since the gateway's start.
type Traffic struct {
	Calls             int64 `json:"calls"`
	ConnectionsOpened int64 `json:"opened"`
	BytesIn           int64 `json:"bytes_in"`
	BytesOut          int64 `json:"bytes_out"`
}

// Snapshot returns the current counts, which are read one after another.
func (m *Meter) Snapshot() Traffic {
	return Traffic{
		Calls:             m.calls.Load(),
		ConnectionsOpened: m.opened.Load(),
		BytesIn:           m.bytesIn.Load(),
		BytesOut:          m.bytesOut.Load(),
	}
}

// ReportAge sums up the ages of the load reports by which replicas were chosen, each at the time of its attempt.
type ReportAge struct {
	WithReport    int64         `json:"known"`   // attempts at replicas that had a load report
	WithoutReport int64         `json:"unknown"` // attempts at replicas without one
	Sum           time.Duration `json:"sum_ns"`  // sum of the ages of the reports
}

// Mean returns the mean age of the reports, 0 if no attempt had one.
func (a ReportAge) Mean() time.Duration {
	if a.WithReport == 0 {
		return 0
	}
	return a.Sum / time.Duration(a.WithReport)
}

// OperatorCallCount is the number of operators' calls of one kind with one outcome.
type OperatorCallCount struct {
	Call     string `json:"call"`
	Accepted bool   `json:"yes"`
	Count    int64  `json:"n"`
}

// Stats describes a gateway's control plane. Counters start at 0 when the process starts.
type Stats struct {
	Listed         int    `json:"listed"` // replicas on the endpoint list
	Ready          int    `json:"ready"`  // listed replicas that accept new attempts
	Subset         int    `json:"subset"` // ready replicas in the gateway's subset
	OutsideTargets int    `json:"guests"` // affinity targets outside the subset
	Joined         uint64 `json:"joined"` // replicas added to the subset
	Left           uint64 `json:"left"`   // replicas removed from the subset

	ListAge   time.Duration    `json:"list_age_ns,omitempty"` // time since discovery last confirmed the list
	ListStale bool             `json:"list_stale,omitempty"`  // the list is too old for new attempts
	Polls     map[string]int64 `json:"polls,omitempty"`       // polls of discovery, by outcome

	RejectedLists    int64 `json:"refused_lists"`
	MalformedEntries int64 `json:"odd_entries"`  // invalid entries of endpoint lists
	UnknownKeys      int64 `json:"unknown_keys"` // unsupported keys in the active configuration

	ClosedConnections map[string]int64 `json:"closed"` // closed client connections, by reason

	EjectedReplicas int                 `json:"replicas_out"`     // replicas ejected by operators
	Drained         bool                `json:"drained"`          // operators have drained the gateway
	OrdersNotSaved  bool                `json:"orders_not_saved"` // the last read or save of the maintenance orders failed
	OperatorCalls   []OperatorCallCount `json:"operator_calls"`

	ListVersion    int64     `json:"version"`  // version of the current endpoint list
	ListReceivedAt time.Time `json:"in_force"` // when the current endpoint list was received

	Connections int                   `json:"connections"` // open connections to replicas
	LoopBusy    time.Duration         `json:"busy_ns"`     // time that the event loop spent on events
	Reports     ReportAge             `json:"reports"`
	Traffic     [PurposeCount]Traffic `json:"traffic"` // indexed by Purpose
}
