package emulate

import (
	"time"

	"archknot/internal/fleet/model"
	"archknot/internal/httpwire"
)

// failureDetectionTime is the delay until discovery detects that a replica's process has ended.
const failureDetectionTime = 500 * time.Millisecond

// StartFault injects a fault into the fleet; faults of the clients' traffic have no effect here.
func (f *Fleet) StartFault(fault model.Fault) { f.setFault(fault, true) }

// EndFault ends a fault that StartFault injected.
func (f *Fleet) EndFault(fault model.Fault) { f.setFault(fault, false) }

func (f *Fleet) setFault(fault model.Fault, on bool) {
	if fault.Kind == model.FaultDiscovery {
		f.discovery.setUnresponsive(on)
		return
	}
	for i, r := range f.Replicas {
		if fault.Replica >= 0 && fault.Replica != i || fault.Zone != "" && fault.Zone != r.group.Zone {
			continue
		}
		f.setReplicaFault(r, fault, on)
	}
}

func (f *Fleet) setReplicaFault(r *Replica, fault model.Fault, on bool) {
	switch fault.Kind {
	case model.FaultKill:
		if on {
			f.kill(r)
		} else {
			f.restart(r)
		}
	case model.FaultLoseMachine:
		if on {
			f.loseMachine(r, time.Duration(fault.Factor*float64(time.Second)))
		} else {
			f.returnMachine(r)
		}
	case model.FaultDrain:
		lifecycle := lifecycleReady
		if on {
			lifecycle = lifecycleDraining
		}
		r.setDraining(on)
		f.discovery.setLifecycle(r.index, lifecycle)
	default:
		r.setFault(fault, on)
	}
}

// setFault starts or ends a fault of the replica's process.
func (r *Replica) setFault(fault model.Fault, on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch fault.Kind {
	case model.FaultSlow:
		slowdown := 1.0
		if on {
			slowdown = fault.Factor
		}
		if r.simulator != nil {
			r.simulator.SetSlowdown(slowdown)
		}
	case model.FaultUnresponsive:
		r.unresponsive = on
	case model.FaultFlushCache:
		if on && r.simulator != nil {
			r.simulator.FlushCache()
		}
	case model.FaultMalformed:
		r.malformed = on
	case model.FaultReset:
		r.resetMidAnswer = on
	}
}

// kill ends a replica's process. Discovery marks the replica as gone after failureDetectionTime.
func (f *Fleet) kill(r *Replica) {
	r.stop()
	time.AfterFunc(failureDetectionTime, func() {
		if r.isStopped() {
			f.discovery.setLifecycle(r.index, lifecycleGone)
		}
	})
}

// restart starts a replica's process again at the same address. Discovery lists it as ready after the startup
// time, when it begins to warm up.
func (f *Fleet) restart(r *Replica) {
	startup := r.group.Params.StartupTime
	if err := r.start(f.now() + startup); err != nil {
		return // another process has bound the port: the replica stays stopped
	}
	startedAtMs := time.Now().UnixMilli()
	time.AfterFunc(time.Duration(startup)*time.Microsecond, func() {
		f.discovery.update(r.index, func(e *httpwire.Endpoint) { *e = r.listEntry(lifecycleReady, startedAtMs) })
	})
}

// loseMachine emulates the loss of a replica's machine: the replica becomes unresponsive, and discovery marks it
// as gone after detectionDelay. Unlike a lost machine, it still accepts connections, because a listener
// on a loopback address cannot drop them.
func (f *Fleet) loseMachine(r *Replica, detectionDelay time.Duration) {
	r.setUnresponsive(true)
	time.AfterFunc(detectionDelay, func() {
		if r.isUnresponsive() {
			f.discovery.setLifecycle(r.index, lifecycleGone)
		}
	})
}

// returnMachine emulates the return of a lost machine: open connections are closed, and the replica restarts.
func (f *Fleet) returnMachine(r *Replica) {
	r.setUnresponsive(false)
	r.stop()
	f.restart(r)
}
