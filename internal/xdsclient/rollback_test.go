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

// rollbackPoint is a point within a rollback at which a test ends the process.
type rollbackPoint string

const (
	pointApplyBegins rollbackPoint = "apply begins" // before the target returns to the previous version
	pointApplyEnds   rollbackPoint = "apply ends"   // after that, before the machine is notified
	pointLogged      rollbackPoint = "logged"       // after the machine has logged the rollback
	pointConfirmed   rollbackPoint = "confirmed"    // after the operator's call has returned
)

// previousVersion is in force before rolledBackVersion, which is rolled back.
const (
	previousVersion   = 7
	rolledBackVersion = 8
)

// versionToRollBack returns rolledBackVersion, with a hold for an automatic rollback.
func versionToRollBack(automatic bool) *controlservice.Version {
	v := version(rolledBackVersion)
	if automatic {
		v.FirstPercent, v.Hold, v.MaxRegression = 100, time.Minute, 0.1
	}
	return v
}

// observedTarget calls reached before and after the target applies a rollback.
type observedTarget struct {
	target
	reached func(rollbackPoint)
}

func (p *observedTarget) Apply(ctx context.Context, c *configversion.Config) configversion.Rejections {
	rollback := p.version() == rolledBackVersion
	if rollback {
		p.reached(pointApplyBegins)
	}
	rejections := p.target.Apply(ctx, c)
	if rollback {
		p.reached(pointApplyEnds)
	}
	return rejections
}

// rollbackRun is a client that applies previousVersion and rolledBackVersion, and rolls back the second.
type rollbackRun struct {
	target  *observedTarget
	client  *Client
	store   *Store
	publish func(*controlservice.Version)
}

func newRollbackRun(addr, storePath string, publish func(*controlservice.Version), reached func(rollbackPoint)) (*rollbackRun, error) {
	run := &rollbackRun{target: &observedTarget{reached: reached}, publish: publish}
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

// rollBack puts rolledBackVersion in force and starts its rollback. For an operator's rollback it returns the error of
// the call; for an automatic one it returns nil.
func (r *rollbackRun) rollBack(ctx context.Context, automatic bool) error {
	r.publish(version(previousVersion))
	if err := r.await(ctx, func() bool { stored, _, _ := r.store.Load(); return stored != nil && stored.Number == previousVersion }); err != nil {
		return err
	}
	for range 100 {
		r.client.RequestEnded(false)
	}
	time.Sleep(3 * requestCountInterval) // until the client has counted them in the baseline
	r.publish(versionToRollBack(automatic))
	if err := r.await(ctx, func() bool { return numberInForce(r.client) == rolledBackVersion }); err != nil {
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

// expectRolledBack starts a client on the store of a process that ended within a rollback. rolledBackVersion must not
// come into force, and the service, which still publishes it, must receive a rejection.
func expectRolledBack(t *testing.T, s *controlservice.Service, storePath string) {
	t.Helper()
	g := startClient(t, "n0", s.Addr(), storePath, nil)
	defer g.stop()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	rejected := func(acks []controlservice.Ack) bool {
		return slices.ContainsFunc(acks, func(a controlservice.Ack) bool {
			return a.Error == fmt.Sprintf("version %[1]d: Version: number: version %[1]d was given back or refused before", rolledBackVersion)
		})
	}
	if err := s.AwaitAcks(ctx, rejected); err != nil {
		t.Errorf("the service received no rejection of the version: %v", err)
	}
	g.mu.Lock()
	applied := slices.Clone(g.applied)
	g.mu.Unlock()
	if slices.Contains(applied, rolledBackVersion) {
		t.Errorf("the version was applied again after its rollback: %v", applied)
	}
	if g.version() != previousVersion {
		t.Errorf("version %d is in force, expected the previous version", g.version())
	}
}

// atEachRollbackPoint runs a test for an operator's and an automatic rollback, at each of their points.
func atEachRollbackPoint(t *testing.T, run func(t *testing.T, automatic bool, point rollbackPoint)) {
	t.Helper()
	for _, automatic := range []bool{false, true} {
		for _, point := range []rollbackPoint{pointApplyBegins, pointApplyEnds, pointLogged, pointConfirmed} {
			if automatic && point == pointConfirmed {
				continue // an automatic rollback has no caller
			}
			t.Run(fmt.Sprintf("automatic=%t/%s", automatic, point), func(t *testing.T) {
				t.Parallel()
				run(t, automatic, point)
			})
		}
	}
}

// Guards against a version that is in force again after its rollback was interrupted by a clean stop.
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
			if at != pointLogged { // RecordEvent runs on the goroutine that must end
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

// Environment variables of the child process of TestRollbackOutlivesSIGKILL.
const (
	rollbackStoreEnv     = "ARCHKNOT_TEST_ROLLBACK_STORE"
	rollbackServiceEnv   = "ARCHKNOT_TEST_ROLLBACK_SERVICE"
	rollbackPointEnv     = "ARCHKNOT_TEST_ROLLBACK_POINT"
	rollbackAutomaticEnv = "ARCHKNOT_TEST_ROLLBACK_AUTOMATIC"
)

// rollBackUntilKilled is the child process. It kills itself at the point that rollbackPointEnv names.
func rollBackUntilKilled() {
	killAt := func(at rollbackPoint) {
		if string(at) == os.Getenv(rollbackPointEnv) {
			_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
			select {}
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	publish := func(v *controlservice.Version) { fmt.Println(v.Number) } // the parent process publishes the version
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

// Guards against a version that is in force again after its rollback was interrupted by SIGKILL.
func TestRollbackOutlivesSIGKILL(t *testing.T) {
	atEachRollbackPoint(t, func(t *testing.T, automatic bool, point rollbackPoint) {
		t.Helper()
		s := startService(t)
		path := filepath.Join(t.TempDir(), "store")
		killRollback(t, s, path, automatic, point)
		expectRolledBack(t, s, path)
	})
}

// killRollback runs a child process that is killed at a point of a rollback, and publishes the versions that it prints.
func killRollback(t *testing.T, s *controlservice.Service, storePath string, automatic bool, point rollbackPoint) {
	t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), rollbackStoreEnv+"="+storePath, rollbackServiceEnv+"="+s.Addr(), rollbackPointEnv+"="+string(point))
	if automatic {
		cmd.Env = append(cmd.Env, rollbackAutomaticEnv+"=1")
	}
	var stderr strings.Builder
	cmd.Stderr = &stderr
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	for {
		var n int
		if _, err := fmt.Fscanln(stdout, &n); err != nil {
			break
		}
		if n == rolledBackVersion {
			s.Publish(versionToRollBack(automatic))
		} else {
			s.Publish(version(uint64(n)))
		}
	}
	_ = cmd.Wait()
	if status, ok := cmd.ProcessState.Sys().(syscall.WaitStatus); !ok || status.Signal() != syscall.SIGKILL {
		t.Fatalf("%v: %s", cmd.ProcessState, stderr.String())
	}
}

// Guards against a confirmed rollback that was not saved: the version would be in force again after a restart. The
// store is closed before the rollback, which must then fail and change nothing.
func TestRollbackIsRefusedWhereItCannotBeSaved(t *testing.T) {
	s := startService(t)
	g := startClient(t, "n0", s.Addr(), filepath.Join(t.TempDir(), "store"), nil)
	s.Publish(version(previousVersion))
	waitFor(t, "the version", func() bool { return numberInForce(g.client) == previousVersion })
	g.client.options.Store.Close()
	if err := g.client.Rollback(t.Context(), "ordered"); err == nil || !strings.Contains(err.Error(), "database not open") {
		t.Errorf("Rollback returned %v, expected the store's error", err)
	}
	time.Sleep(200 * time.Millisecond)
	if g.version() != previousVersion {
		t.Errorf("version %d is in force after a failed rollback", g.version())
	}
}
