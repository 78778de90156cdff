// Package figures holds what a gateway tells operators about its own control work: the list that it
// follows, its part of the fleet, and what went over its connections for which purpose.
package controlstats

import (
	"sync/atomic"
	"time"
)

// Purpose is what a connection carries.
type Purpose uint8

// The purposes.
const (
	PurposeDiscovery Purpose = iota
	PurposeHealthCheck
	PurposeAttempt
	PurposeCount int = iota
)

// String is the purpose's word in metrics and tables.
func (p Purpose) String() string { return [...]string{"discovery", "probe", "attempt"}[p] }

// Meter counts what goes over connections for one purpose. It may be used by many tasks at once.
type Meter struct{ calls, opened, bytesIn, bytesOut atomic.Int64 }

// AddCall counts a call that has begun; opened tells that it needed a new connection.
func (m *Meter) AddCall(opened bool) {
	m.calls.Add(1)
	if opened {
		m.opened.Add(1)
	}
}

// AddBytesIn counts bytes that have come. A nil Meter counts nothing.
func (m *Meter) AddBytesIn(n int) {
	if m != nil {
		m.bytesIn.Add(int64(n))
	}
}

// AddBytesOut counts bytes that were sent. A nil Meter counts nothing.
func (m *Meter) AddBytesOut(n int) {
	if m != nil {
		m.bytesOut.Add(int64(n))
	}
}

// Traffic is what a Meter has counted.
type Traffic struct {
	Calls             int64 `json:"calls"`
	ConnectionsOpened int64 `json:"opened"` // connections
	BytesIn           int64 `json:"bytes_in"`
	BytesOut          int64 `json:"bytes_out"`
}

// Snapshot tells what was counted so far.
func (m *Meter) Snapshot() Traffic {
	return Traffic{Calls: m.calls.Load(), ConnectionsOpened: m.opened.Load(), BytesIn: m.bytesIn.Load(), BytesOut: m.bytesOut.Load()}
}

// ReportAge is how old the load reports were that attempts went by.
type ReportAge struct {
	WithReport    int64         `json:"known"`   // attempts at replicas of which there was a report
	WithoutReport int64         `json:"unknown"` // and at those of which there was none
	Sum           time.Duration `json:"sum_ns"`
}

// Mean is the reports' mean age; 0 where there was none.
func (a ReportAge) Mean() time.Duration {
	if a.WithReport == 0 {
		return 0
	}
	return a.Sum / time.Duration(a.WithReport)
}

// OperatorCallCount counts operators' calls of one kind.
type OperatorCallCount struct {
	Call     string `json:"call"`
	Accepted bool   `json:"yes"` // how they were answered
	Count    int64  `json:"n"`
}

// Stats is a gateway's account of its control work since its start.
type Stats struct {
	Listed            int                   `json:"listed"` // replicas on discovery's list
	Ready             int                   `json:"ready"`  // those that take work
	Subset            int                   `json:"subset"` // those of them that the gateway works with
	OutsideTargets    int                   `json:"guests"` // homes of requests beside these
	Joined            uint64                `json:"joined"` // replicas that have come into the subset
	Left              uint64                `json:"left"`   // and out of it
	RejectedLists     int64                 `json:"refused_lists"`
	MalformedEntries  int64                 `json:"odd_entries"`      // of lists
	UnknownKeys       int64                 `json:"unknown_keys"`     // of the configuration in force
	ClosedConnections map[string]int64      `json:"closed"`           // clients' connections, by reason
	EjectedReplicas   int                   `json:"replicas_out"`     // that operators have out
	Drained           bool                  `json:"drained"`          // operators have the gateway drained
	OrdersNotSaved    bool                  `json:"orders_not_saved"` // what operators ordered could not be read or saved at the last try
	OperatorCalls     []OperatorCallCount   `json:"operator_calls"`
	ListVersion       int64                 `json:"version"`     // of the list
	ListSince         time.Time             `json:"in_force"`    // since when it has it
	Connections       int                   `json:"connections"` // to replicas, open now
	LoopBusy          time.Duration         `json:"busy_ns"`     // of the task that decides
	Reports           ReportAge             `json:"reports"`
	Traffic           [PurposeCount]Traffic `json:"traffic"`
}
