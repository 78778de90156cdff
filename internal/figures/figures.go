// Package figures holds what a gateway tells operators about its own control work: the list that it
// follows, its part of the fleet, and what went over its connections for which purpose.
package figures

import (
	"sync/atomic"
	"time"
)

// Purpose is what a connection carries.
type Purpose uint8

// The purposes.
const (
	Discovery Purpose = iota
	Probe
	Attempt
	Purposes int = iota
)

// String is the purpose's word in metrics and tables.
func (p Purpose) String() string { return [...]string{"discovery", "probe", "attempt"}[p] }

// Meter counts what goes over connections for one purpose. It may be used by many tasks at once.
type Meter struct{ calls, opened, in, out atomic.Int64 }

// Call counts a call that has begun; opened tells that it needed a new connection.
func (m *Meter) Call(opened bool) {
	m.calls.Add(1)
	if opened {
		m.opened.Add(1)
	}
}

// In counts bytes that have come. A nil Meter counts nothing.
func (m *Meter) In(n int) {
	if m != nil {
		m.in.Add(int64(n))
	}
}

// Out counts bytes that were sent. A nil Meter counts nothing.
func (m *Meter) Out(n int) {
	if m != nil {
		m.out.Add(int64(n))
	}
}

// Traffic is what a Meter has counted.
type Traffic struct {
	Calls    int64 `json:"calls"`
	Opened   int64 `json:"opened"` // connections
	BytesIn  int64 `json:"bytes_in"`
	BytesOut int64 `json:"bytes_out"`
}

// Read tells what was counted so far.
func (m *Meter) Read() Traffic {
	return Traffic{Calls: m.calls.Load(), Opened: m.opened.Load(), BytesIn: m.in.Load(), BytesOut: m.out.Load()}
}

// ReportAge is how old the load reports were that attempts went by.
type ReportAge struct {
	Known   int64         `json:"known"`   // attempts at replicas of which there was a report
	Unknown int64         `json:"unknown"` // and at those of which there was none
	Sum     time.Duration `json:"sum_ns"`
}

// Mean is the reports' mean age; 0 where there was none.
func (a ReportAge) Mean() time.Duration {
	if a.Known == 0 {
		return 0
	}
	return a.Sum / time.Duration(a.Known)
}

// OperatorCalls counts operators' calls of one kind.
type OperatorCalls struct {
	Call string `json:"call"`
	Yes  bool   `json:"yes"` // how they were answered
	N    int64  `json:"n"`
}

// Control is a gateway's account of its control work since its start.
type Control struct {
	Listed       int               `json:"listed"` // replicas on discovery's list
	Ready        int               `json:"ready"`  // those that take work
	Subset       int               `json:"subset"` // those of them that the gateway works with
	Guests       int               `json:"guests"` // homes of requests beside these
	Joined       uint64            `json:"joined"` // replicas that have come into the subset
	Left         uint64            `json:"left"`   // and out of it
	RefusedLists int64             `json:"refused_lists"`
	OddEntries   int64             `json:"odd_entries"`      // of lists
	UnknownKeys  int64             `json:"unknown_keys"`     // of the configuration in force
	Closed       map[string]int64  `json:"closed"`           // clients' connections, by reason
	ReplicasOut  int               `json:"replicas_out"`     // that operators have out
	Drained      bool              `json:"drained"`          // operators have the gateway drained
	OrdersLost   bool              `json:"orders_not_saved"` // what operators ordered could not be read or saved at the last try
	Calls        []OperatorCalls   `json:"operator_calls"`
	Version      int64             `json:"version"`     // of the list
	InForce      time.Time         `json:"in_force"`    // since when it has it
	Connections  int               `json:"connections"` // to replicas, open now
	Busy         time.Duration     `json:"busy_ns"`     // of the task that decides
	Reports      ReportAge         `json:"reports"`
	Traffic      [Purposes]Traffic `json:"traffic"`
}
