// Package controlstats defines what a gateway reports to operators about its control plane: its endpoint
// list, its subset of the fleet, and the traffic of its connections by purpose.
package controlstats

import (
	"sync/atomic"
	"time"
)

// Purpose is what a connection is used for.
type Purpose uint8

// The purposes; PurposeCount is their number.
const (
	PurposeDiscovery Purpose = iota
	PurposeHealthCheck
	PurposeAttempt
	PurposeCount int = iota
)

// String returns the purpose's label in metrics and tables.
func (p Purpose) String() string { return [...]string{"discovery", "probe", "attempt"}[p] }

// Meter counts the traffic of connections for one purpose. It may be used by many goroutines at once.
type Meter struct{ calls, opened, bytesIn, bytesOut atomic.Int64 }

// AddCall counts a call that has begun; opened is true if it needed a new connection.
func (m *Meter) AddCall(opened bool) {
	m.calls.Add(1)
	if opened {
		m.opened.Add(1)
	}
}

// AddBytesIn counts received bytes. A nil Meter counts nothing.
func (m *Meter) AddBytesIn(n int) {
	if m != nil {
		m.bytesIn.Add(int64(n))
	}
}

// AddBytesOut counts sent bytes. A nil Meter counts nothing.
func (m *Meter) AddBytesOut(n int) {
	if m != nil {
		m.bytesOut.Add(int64(n))
	}
}

// Traffic is the reading of a Meter since the gateway's start.
type Traffic struct {
	Calls             int64 `json:"calls"`
	ConnectionsOpened int64 `json:"opened"`
	BytesIn           int64 `json:"bytes_in"`
	BytesOut          int64 `json:"bytes_out"`
}

// Snapshot returns the current counts.
func (m *Meter) Snapshot() Traffic {
	return Traffic{
		Calls:             m.calls.Load(),
		ConnectionsOpened: m.opened.Load(),
		BytesIn:           m.bytesIn.Load(),
		BytesOut:          m.bytesOut.Load(),
	}
}

// ReportAge sums up the age of the load reports at the time of the attempts that were decided with them.
type ReportAge struct {
	WithReport    int64         `json:"known"`   // attempts at replicas with a load report
	WithoutReport int64         `json:"unknown"` // attempts at replicas without one
	Sum           time.Duration `json:"sum_ns"`  // of the ages
}

// Mean returns the mean age of the reports; 0 if there was none.
func (a ReportAge) Mean() time.Duration {
	if a.WithReport == 0 {
		return 0
	}
	return a.Sum / time.Duration(a.WithReport)
}

// OperatorCallCount counts operators' calls of one kind and answer.
type OperatorCallCount struct {
	Call     string `json:"call"`
	Accepted bool   `json:"yes"`
	Count    int64  `json:"n"`
}

// Stats describes a gateway's control plane; counts are since its start.
type Stats struct {
	Listed         int    `json:"listed"` // replicas on the endpoint list
	Ready          int    `json:"ready"`  // those of them that accept new attempts
	Subset         int    `json:"subset"` // those of them in the gateway's subset
	OutsideTargets int    `json:"guests"` // affinity targets outside the subset
	Joined         uint64 `json:"joined"` // replicas that have come into the subset
	Left           uint64 `json:"left"`   // replicas that have left it

	ListAge   time.Duration    `json:"list_age_ns,omitempty"` // since discovery's last word
	ListStale bool             `json:"list_stale,omitempty"`  // the list is too old to be trusted
	Polls     map[string]int64 `json:"polls,omitempty"`       // of discovery, by outcome

	RejectedLists    int64 `json:"refused_lists"`
	MalformedEntries int64 `json:"odd_entries"`  // of endpoint lists
	UnknownKeys      int64 `json:"unknown_keys"` // of the configuration in force

	ClosedConnections map[string]int64 `json:"closed"` // of clients, by reason

	EjectedReplicas int                 `json:"replicas_out"`     // ejected by operators
	Drained         bool                `json:"drained"`          // operators have drained the gateway
	OrdersNotSaved  bool                `json:"orders_not_saved"` // the last read or save of the maintenance orders failed
	OperatorCalls   []OperatorCallCount `json:"operator_calls"`

	ListVersion int64     `json:"version"`  // version of the endpoint list in use
	ListSince   time.Time `json:"in_force"` // when it was applied

	Connections int                   `json:"connections"` // open connections to replicas
	LoopBusy    time.Duration         `json:"busy_ns"`     // time that the event loop was busy
	Reports     ReportAge             `json:"reports"`
	Traffic     [PurposeCount]Traffic `json:"traffic"` // by Purpose
}
