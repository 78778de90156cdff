package maintenance

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// syncInterval is the time between two checks of the file and other processes for newer orders, and
	// between two retries of a failed save.
	syncInterval = 250 * time.Millisecond
	// orderTimeout bounds how long an order waits to be saved: operators expect a response within 1 s.
	orderTimeout = 600 * time.Millisecond
	// retryInterval is the pause between two attempts to read or save the file, or to query other processes.
	retryInterval = 40 * time.Millisecond
	// openTimeout bounds how long Open retries to read the file.
	openTimeout = 600 * time.Millisecond
	// predecessorTimeout bounds how long Open waits for a predecessor that exists but does not respond.
	predecessorTimeout = time.Second
	// maxNameInFileName bounds the part of the file's name that is taken from the gateway's name, in bytes.
	maxNameInFileName = 40
)

// ErrNotSaved is returned for an order that is in force in this process but could not be saved: it would
// be lost if the process ended now. Run retries the save.
var ErrNotSaved = errors.New("in force, but not saved")

// Options configure a Store. Processes with the same Directory, Name and Listen belong to the same gateway.
type Options struct {
	Directory  string     // of the orders file
	Name       string     // the gateway's name
	Listen     string     // the gateway's client address
	FileSystem FileSystem // nil: that of the operating system
}

// Store holds the maintenance orders of one gateway. All methods may be called from any goroutine.
type Store struct {
	options  Options
	path     string
	handoff  *handoff
	ejected  atomic.Pointer[map[string]struct{}] // a copy for readers that must not block on mu
	onChange atomic.Pointer[func()]

	mu                 sync.Mutex // protects the fields below
	state              state
	listed             listedReplicas
	saved              state     // content of the file when this process last read or wrote it
	fingerprint        string    // of the file when saved was read or written
	lastError          error     // of the latest attempt to read or save; nil: it succeeded
	corruptionLoggedAt time.Time // when a corrupted file was last logged

	fileSemaphore chan struct{} // of capacity 1; held by the goroutine that reads or writes the file
}

// Open restores earlier orders from the file and from a predecessor that is still running. It always
// returns a usable store: if the file cannot be read, Open logs the error and Run retries.
func Open(o Options) *Store {
	if o.FileSystem == nil {
		o.FileSystem = osFileSystem{}
	}
	base := fileBaseName(o)
	s := &Store{
		options:       o,
		path:          filepath.Join(o.Directory, base+".orders"),
		handoff:       newHandoff(base),
		state:         newState(),
		saved:         newState(),
		fileSemaphore: make(chan struct{}, 1),
	}
	s.publish()
	s.readAtStart()
	s.inheritOrders()
	s.logRestored()
	return s
}

// fileBaseName returns the common base name of the orders file and the handoff socket. Its hash distinguishes
// gateways whose names are equal after sanitizeFileName.
func fileBaseName(o Options) string {
	hash := fnv.New64a()
	fmt.Fprintf(hash, "%d\x00%s\x00%s\x00%s", os.Geteuid(), o.Name, o.Listen, o.Directory)
	return fmt.Sprintf("archknot-%s-%016x", sanitizeFileName(o.Name), hash.Sum64())
}

// sanitizeFileName replaces characters that are not safe in a file name, and shortens the name.
func sanitizeFileName(name string) string {
	sanitized := strings.Map(func(c rune) rune {
		if c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' {
			return c
		}
		return '_'
	}, name)
	return sanitized[:min(len(sanitized), maxNameInFileName)]
}

func (s *Store) readAtStart() {
	ctx, cancel := context.WithTimeout(context.Background(), openTimeout)
	defer cancel()
	if err := s.retryUntilDone(ctx, s.load); err != nil {
		slog.Error("maintenance_orders_read_failed", "path", s.path, "err", err)
	}
}

// inheritOrders merges the orders of the processes that are still running. Without one, the process that was
// drained has ended, and so inheritOrders ends the drain.
func (s *Store) inheritOrders() {
	deadline := time.Now().Add(predecessorTimeout)
	for {
		switch s.mergeOthers() {
		case otherResponded:
			return
		case noOtherProcess:
			s.endDrain()
			return
		}
		if !time.Now().Before(deadline) {
			return
		}
		time.Sleep(retryInterval)
	}
}

// mergeOthers merges the orders of the gateway's other processes.
func (s *Store) mergeOthers() queryOutcome {
	states, outcome := s.handoff.queryOthers()
	for _, other := range states {
		s.mergeState(other)
	}
	return outcome
}

// endDrain cancels a drain that was ordered for an earlier process.
func (s *Store) endDrain() {
	s.mu.Lock()
	if s.state.Drain.Active {
		s.state.setDrained(false)
	}
	s.mu.Unlock()
	s.publish()
}

func (s *Store) logRestored() {
	s.mu.Lock()
	ejectedCount, drained := s.state.ejectedCount(), s.state.Drain.Active
	s.mu.Unlock()
	if ejectedCount > 0 || drained {
		slog.Info("maintenance_orders_restored", "ejected_replicas", ejectedCount, "drained", drained)
	}
}

// Run keeps the store in sync with the file and the gateway's other processes until the context ends, saves the
// listed replicas, retries failed saves, and serves the orders to other processes. It must be called only once.
func (s *Store) Run(ctx context.Context) {
	ticker := time.NewTicker(syncInterval)
	defer ticker.Stop()
	defer s.handoff.close()
	for {
		s.handoff.listen(s)
		s.mergeOthers()
		_ = s.withExclusiveFile(ctx, s.sync) // sync logs a failure
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Close saves unsaved orders, with retries until the context ends. An error wraps ErrNotSaved.
func (s *Store) Close(ctx context.Context) error { return s.flush(ctx) }

// Ejected reports whether operators have ejected a replica. It never blocks.
func (s *Store) Ejected(id string) bool {
	_, ejected := (*s.ejected.Load())[id]
	return ejected
}

// AllEjected returns the ids of the ejected replicas. It never blocks. The caller must not change the map.
func (s *Store) AllEjected() map[string]struct{} { return *s.ejected.Load() }

// HasOrder reports whether the store has an order on a replica, either to eject or to reinstate it.
func (s *Store) HasOrder(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.state.Replicas[id]
	return ok
}

// Drained reports whether operators have drained the gateway.
func (s *Store) Drained() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Drain.Active
}

// LastError returns why the latest attempt to read or save the file failed; nil if it succeeded.
func (s *Store) LastError() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastError
}

// HasPredecessor reports whether another process of the gateway is running. At the start of a process that is
// its predecessor.
func (s *Store) HasPredecessor() bool {
	_, outcome := s.handoff.queryOthers()
	return outcome != noOtherProcess
}

// Listen makes this process known to the processes that start from now on, which take its orders over. Run keeps
// trying if that fails.
func (s *Store) Listen() { s.handoff.listen(s) }

// SetEjected ejects or reinstates a replica. The order is in force when this returns nil or ErrNotSaved,
// and saved when it returns nil. In case of ErrTooManyEjected, or of an id that is empty or too long, nothing
// changes.
func (s *Store) SetEjected(ctx context.Context, id string, ejected bool) error {
	if id == "" || len(id) > maxReplicaIDLength {
		return fmt.Errorf("a replica's id has 1 to %d characters", maxReplicaIDLength)
	}
	return s.applyOrder(ctx, func(st *state) error {
		current, known := st.Replicas[id]
		if known && current.Active == ejected || !known && !ejected {
			return nil
		}
		return st.setEjected(id, ejected)
	})
}

// SetDrained drains the gateway or ends the drain. The order is in force when this returns; an error wraps
// ErrNotSaved.
func (s *Store) SetDrained(ctx context.Context, drained bool) error {
	return s.applyOrder(ctx, func(st *state) error {
		if st.Drain.Active != drained {
			st.setDrained(drained)
		}
		return nil
	})
}

// applyOrder changes the state, and saves it within orderTimeout.
func (s *Store) applyOrder(ctx context.Context, change func(*state) error) error {
	s.mu.Lock()
	err := change(&s.state)
	s.mu.Unlock()
	if err != nil {
		return err
	}
	s.publish()
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return s.flush(ctx)
}

// mergeState merges the orders and listed replicas of the file or of another process, and publishes a change
// of the orders.
func (s *Store) mergeState(other state) {
	s.mu.Lock()
	s.listed.merge(other.Listed)
	changed := s.state.merge(other)
	s.mu.Unlock()
	if changed {
		s.publish()
	}
}

// publish puts the current orders in force: it updates the copy for readers and calls the OnChange callback.
func (s *Store) publish() {
	s.mu.Lock()
	ejected := s.state.ejected()
	s.ejected.Store(&ejected)
	s.mu.Unlock()
	if callback := s.onChange.Load(); callback != nil {
		(*callback)()
	}
}

// OnChange registers the callback that is called after orders may have changed, in any goroutine. The
// callback is also called once immediately. A store has one callback; a further call replaces it.
func (s *Store) OnChange(callback func()) {
	s.onChange.Store(&callback)
	callback()
}

// snapshot returns the state in the file format, for another process.
func (s *Store) snapshot() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.currentState().marshal()
}

// currentState returns a copy of the state with the listed replicas. The caller holds mu.
func (s *Store) currentState() state {
	current := s.state.clone()
	current.Listed = slices.Clone(s.listed.ids)
	return current
}
