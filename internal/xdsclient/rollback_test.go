package xdsclient

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"archknot/internal/configversion"
	"archknot/internal/fakes/controlservice"
)

// A rollbackPoint is a moment of a rollback at which a test ends the process.
type rollbackPoint string

const (
	pointApplyBegins rollbackPoint = "apply begins" // the target is about to return to the previous version
	pointApplyEnds   rollbackPoint = "apply ends"   // it has; the machine doesn't know
	pointLogged      rollbackPoint = "logged"       // the machine knows, and has logged it
	pointConfirmed   rollbackPoint = "confirmed"    // the operator has the answer
)

// keptVersion is in force before suspectVersion, which is rolled back.
const (
	keptVersion    = 7
	suspectVersion = 8
)

// suspect is a version that is rolled back by an operator's order, or by itself within its hold.
func suspect(automatic bool) *controlservice.Version {
	v := version(suspectVersion)
	if automatic {
		v.FirstPercent, v.Hold, v.MaxRegression = 100, time.Minute, 0.1
	}
	return v
}

// pointTarget calls a function at the points of a rollback that the target sees.
type pointTarget struct {
	target
	reached func(rollbackPoint)
}

func (p *pointTarget) Apply(ctx context.Context, c *configversion.Config) configversion.Rejections {
	rollback := p.version() == suspectVersion
	if rollback {
		p.reached(pointApplyBegins)
	}
	rejections := p.target.Apply(ctx, c)
	if rollback {
		p.reached(pointApplyEnds)
	}
	return rejections
}

// rollbackRun is a client that applies keptVersion and suspectVersion from a service, and rolls the second back.
type rollbackRun struct {
	target  *pointTarget
	client  *Client
	store   *Store
	publish func(*controlservice.Version)
}

func newRollbackRun(addr, storePath string, publish func(*controlservice.Version), reached func(rollbackPoint)) (*rollbackRun, error) {
	run := &rollbackRun{target: &pointTarget{reached: reached}, publish: publish}
	var err error
	if run.store, _, err = OpenStore(storePath); err != nil {
		return nil, err
	}
	o := Options{Address: addr, Store: run.store, Machine: configversion.DefaultOptions("n0", 1)}
	o.Machine.InitialBackoff, o.Machine.MaxBackoff, o.Machine.MinInterval = 20_000, 300_000, 50_000
	o.Log = func(msg string, _ ...any) {
		if msg == "config_"+configversion.EventRolledBack {
			reached(pointLogged)
		}
	}
	run.client, err = New(o, run.target)
	return run, err
}

// rollBack brings the suspect version into force and has it rolled back. It returns the error of an operator's
// order, and nil for an automatic rollback.
func (r *rollbackRun) rollBack(ctx context.Context, automatic bool) error {
	r.publish(version(keptVersion))
	if err := r.await(ctx, func() bool { stored, _, _ := r.store.Load(); return stored != nil && stored.Number == keptVersion }); err != nil {
		return err
	}
	for range 100 {
		r.client.RequestEnded(false)
	}
	time.Sleep(3 * requestCountInterval) // the client counts them for the version before
	r.publish(suspect(automatic))
	if err := r.await(ctx, func() bool { return numberInForce(r.client) == suspectVersion }); err != nil {
		return err
	}
	if !automatic {
		return r.client.Rollback(ctx, "ordered")
	}
	for range 200 {
		r.client.RequestEnded(true)
	}
	return nil
}

func numberInForce(c *Client) configversion.Number {
	if inForce := c.InForce(); inForce != nil {
		return inForce.Number
	}
	return 0
}

func (r *rollbackRun) await(ctx context.Context, done func() bool) error {
	for !done() {
		select {
		case <-time.After(time.Millisecond):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// expectRolledBack starts a client again on the store of a process that ended within a rollback: the suspect
// version must not come into force, and the service, which still has it, must get a rejection.
func expectRolledBack(t *testing.T, s *controlservice.Service, storePath string) {
	t.Helper()
	g := startClient(t, "n0", s.Addr(), storePath, nil)
	defer g.stop()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	refused := func(acks []controlservice.Ack) bool {
		return slices.ContainsFunc(acks, func(a controlservice.Ack) bool {
			return a.Error == fmt.Sprintf("version %[1]d: Version: number: version %[1]d was given back or refused before", suspectVersion)
		})
	}
	if err := s.AwaitAcks(ctx, refused); err != nil {
		t.Errorf("the service was not told that the version is refused: %v", err)
	}
	g.mu.Lock()
	applied := slices.Clone(g.applied)
	g.mu.Unlock()
	if slices.Contains(applied, suspectVersion) {
		t.Errorf("a version that was rolled back is applied again: %v", applied)
	}
	if g.version() != keptVersion {
		t.Errorf("version %d is in force, not the previous one", g.version())
	}
}

// atEachRollbackPoint runs a test for ordered and automatic rollbacks, and for each point that they have.
func atEachRollbackPoint(t *testing.T, run func(t *testing.T, automatic bool, point rollbackPoint)) {
	t.Helper()
	for _, automatic := range []bool{false, true} {
		for _, point := range []rollbackPoint{pointApplyBegins, pointApplyEnds, pointLogged, pointConfirmed} {
			if automatic && point == pointConfirmed {
				continue // nobody waits for an answer
			}
			t.Run(fmt.Sprintf("automatic=%t/%s", automatic, point), func(t *testing.T) {
				t.Parallel()
				run(t, automatic, point)
			})
		}
	}
}

// Guards against: a version that was rolled back is in force again after a clean stop within the rollback.
func TestRollbackOutlivesAStop(t *testing.T) {
	atEachRollbackPoint(t, func(t *testing.T, automatic bool, point rollbackPoint) {
		t.Helper()
		s := startService(t)
		path := filepath.Join(t.TempDir(), "store")
		ctx, stop := context.WithTimeout(t.Context(), 10*time.Second)
		ended := make(chan struct{})
		reached := make(chan struct{})
		reachedOnce := sync.OnceFunc(func() { close(reached) })
		run, err := newRollbackRun(s.Addr(), path, s.Publish, func(at rollbackPoint) {
			if at != point {
				return
			}
			stop()
			reachedOnce()
			if at != pointLogged { // logged by the goroutine that is to end
				<-ended
			}
		})
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			run.client.Run(ctx)
			close(ended)
		}()
		err = run.rollBack(ctx, automatic)
		if point == pointConfirmed {
			if err != nil {
				t.Fatal(err)
			}
			stop()
			reachedOnce()
		}
		select {
		case <-reached:
		case <-time.After(10 * time.Second):
			t.Fatal("the point was not reached")
		}
		<-ended
		run.store.Close()
		expectRolledBack(t, s, path)
	})
}

// Environment variables of the process that TestRollbackOutlivesSIGKILL kills.
const (
	rollbackStoreEnv     = "ARCHKNOT_TEST_ROLLBACK_STORE"
	rollbackServiceEnv   = "ARCHKNOT_TEST_ROLLBACK_SERVICE"
	rollbackPointEnv     = "ARCHKNOT_TEST_ROLLBACK_POINT"
	rollbackAutomaticEnv = "ARCHKNOT_TEST_ROLLBACK_AUTOMATIC"
)

// rollBackUntilKilled is the killed process: it kills itself at the point that the environment names.
func rollBackUntilKilled() {
	killAt := func(at rollbackPoint) {
		if string(at) == os.Getenv(rollbackPointEnv) {
			_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
			select {}
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	publish := func(v *controlservice.Version) { fmt.Println(v.Number) } // the test publishes it
	run, err := newRollbackRun(os.Getenv(rollbackServiceEnv), os.Getenv(rollbackStoreEnv), publish, killAt)
	if err == nil {
		go run.client.Run(ctx)
		err = run.rollBack(ctx, os.Getenv(rollbackAutomaticEnv) != "")
	}
	if err == nil {
		killAt(pointConfirmed)
	}
	<-ctx.Done()
	fmt.Fprintln(os.Stderr, "the point was not reached", err)
	os.Exit(1)
}

// Guards against: a version that was rolled back is in force again after SIGKILL within the rollback.
func TestRollbackOutlivesSIGKILL(t *testing.T) {
	atEachRollbackPoint(t, func(t *testing.T, automatic bool, point rollbackPoint) {
		t.Helper()
		s := startService(t)
		path := filepath.Join(t.TempDir(), "store")
		killRollback(t, s, path, automatic, point)
		expectRolledBack(t, s, path)
	})
}

// killRollback runs a process that is killed at a point of a rollback, and publishes the versions that it orders.
func killRollback(t *testing.T, s *controlservice.Service, storePath string, automatic bool, point rollbackPoint) {
	t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), rollbackStoreEnv+"="+storePath, rollbackServiceEnv+"="+s.Addr(), rollbackPointEnv+"="+string(point))
	if automatic {
		cmd.Env = append(cmd.Env, rollbackAutomaticEnv+"=1")
	}
	var problems strings.Builder
	cmd.Stderr = &problems
	orders, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	for {
		var n int
		if _, err := fmt.Fscanln(orders, &n); err != nil {
			break
		}
		if n == suspectVersion {
			s.Publish(suspect(automatic))
		} else {
			s.Publish(version(uint64(n)))
		}
	}
	_ = cmd.Wait()
	if status, ok := cmd.ProcessState.Sys().(syscall.WaitStatus); !ok || status.Signal() != syscall.SIGKILL {
		t.Fatalf("%v: %s", cmd.ProcessState, problems.String())
	}
}

// Guards against: an operator is told that a version was taken back, and a store that cannot be written brings it
// back after the next restart.
func TestRollbackIsRefusedWhereItCannotBeSaved(t *testing.T) {
	s := startService(t)
	g := startClient(t, "n0", s.Addr(), filepath.Join(t.TempDir(), "store"), nil)
	s.Publish(version(keptVersion))
	waitFor(t, "the version", func() bool { return numberInForce(g.client) == keptVersion })
	g.client.options.Store.Close()
	if err := g.client.Rollback(t.Context(), "ordered"); err == nil || !strings.Contains(err.Error(), "database not open") {
		t.Errorf("the rollback was answered by %v", err)
	}
	time.Sleep(200 * time.Millisecond)
	if g.version() != keptVersion {
		t.Errorf("version %d is in force, though the rollback was refused", g.version())
	}
}
