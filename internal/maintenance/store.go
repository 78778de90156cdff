package maintenance

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// syncInterval is how often the saved state and the predecessor's are looked at, and saving tried again.
	syncInterval = 250 * time.Millisecond
	// orderTimeout bounds how long an order waits to be saved, and retryInterval is the pause between tries.
	// Operators are owed an answer within a second.
	orderTimeout, retryInterval = 600 * time.Millisecond, 40 * time.Millisecond
	// openTimeout bounds how long the start waits for a file that cannot be read just now, and predecessorTimeout
	// for a predecessor that is there and does not tell.
	openTimeout, predecessorTimeout = 600 * time.Millisecond, time.Second
)

// corruptionLogInterval bounds the lines about a file that is damaged again and again.
const corruptionLogInterval = 10 * time.Second

// ErrNotSaved says that an order is in force in this process, and could not be saved: it would not
// outlast the process. Saving goes on being tried.
var ErrNotSaved = errors.New("in force, but not saved")

// Options of a store.
type Options struct {
	Directory  string     // where the file is
	Name       string     // the gateway's, and
	Listen     string     // its clients' address: who shares both is the same gateway
	FileSystem FileSystem // nil: the real file system
}

// Store is what operators have ordered.
type Store struct {
	options  Options
	path     string
	handoff  handoff
	ejected  atomic.Pointer[map[string]struct{}] // replicas that are out, for whoever asks in passing
	onChange atomic.Pointer[func()]

	mu                 sync.Mutex // over what follows
	state              state
	saved              state // the file's text, as this process knows it
	fingerprint        string
	lastError          error     // of the last try to save or read; nil: it went well
	corruptionLoggedAt time.Time // when damage to the file was last told

	fileSlot chan struct{} // holds one token while somebody reads or writes the file
}

// Open reads what was ordered before. Whatever becomes of the file, the store works: what cannot be
// read is tried again later.
func Open(o Options) *Store {
	if o.FileSystem == nil {
		o.FileSystem = osFileSystem{}
	}
	id := fnv.New64a()
	fmt.Fprintf(id, "%d\x00%s\x00%s\x00%s", os.Geteuid(), o.Name, o.Listen, o.Directory)
	base := fmt.Sprintf("archknot-%s-%016x", sanitizeFileName(o.Name), id.Sum64())
	s := &Store{options: o, path: filepath.Join(o.Directory, base+".orders"), handoff: handoff{address: "@" + base}, state: newState(), saved: newState(),
		fileSlot: make(chan struct{}, 1)}
	s.publish()
	ctx, stop := context.WithTimeout(context.Background(), openTimeout)
	err := s.retryUntilDone(ctx, s.load)
	stop()
	if err != nil {
		slog.Error("maintenance_orders_read_failed", "path", s.path, "err", err)
	}
	s.inheritOrders()
	s.mu.Lock()
	n, drained := s.state.ejectedCount(), s.state.Drain.Active
	s.mu.Unlock()
	if n > 0 || drained {
		slog.Info("maintenance_orders_restored", "ejected_replicas", n, "drained", drained)
	}
	return s
}

// inheritOrders takes over from a predecessor that runs beside. Where there is none, the process that was
// drained has ended, and its drain with it.
func (s *Store) inheritOrders() {
	for end := time.Now().Add(predecessorTimeout); ; time.Sleep(retryInterval) {
		before, answer := s.handoff.queryPredecessor()
		switch {
		case answer == predecessorAnswered:
			s.mergeState(before)
			return
		case answer == predecessorSilent && time.Now().Before(end):
			continue
		case answer == noPredecessor:
			s.mu.Lock()
			if s.state.Drain.Active {
				s.state.Drain = order{Number: s.state.nextNumber()}
			}
			s.mu.Unlock()
			s.publish()
		}
		return
	}
}

// sanitizeFileName is a name as it may stand in a file's name.
func sanitizeFileName(name string) string {
	word := strings.Map(func(c rune) rune {
		if c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' {
			return c
		}
		return '_'
	}, name)
	return word[:min(len(word), 40)]
}

// Ejected tells whether operators have a replica out. It never waits.
func (s *Store) Ejected(id string) bool {
	_, out := (*s.ejected.Load())[id]
	return out
}

// AllEjected are the replicas that are out. The map is not to be changed.
func (s *Store) AllEjected() map[string]struct{} { return *s.ejected.Load() }

// HasOrder tells whether there was ever an order for a replica.
func (s *Store) HasOrder(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.state.Replicas[id]
	return ok
}

// Drained tells whether operators have the gateway drained.
func (s *Store) Drained() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Drain.Active
}

// LastError is why the state could not be read or saved at the last try; nil: it could.
func (s *Store) LastError() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastError
}

// SetEjected takes a replica out or puts it back. It is in force when this returns, and saved unless the
// error says otherwise.
func (s *Store) SetEjected(ctx context.Context, id string, out bool) error {
	if id == "" || len(id) > maxReplicaIDLength {
		return fmt.Errorf("a replica's id has 1 to %d characters", maxReplicaIDLength)
	}
	return s.applyOrder(ctx, func(st *state) error {
		if o, known := st.Replicas[id]; known && o.Active == out || !known && !out {
			return nil
		}
		return st.setEjected(id, out)
	})
}

// SetDrained drains the gateway or ends that.
func (s *Store) SetDrained(ctx context.Context, drained bool) error {
	return s.applyOrder(ctx, func(st *state) error {
		if st.Drain.Active != drained {
			st.Drain = order{Number: st.nextNumber(), Active: drained}
		}
		return nil
	})
}

// applyOrder changes the state, and saves it within the time that operators wait.
func (s *Store) applyOrder(ctx context.Context, change func(*state) error) error {
	s.mu.Lock()
	err := change(&s.state)
	s.mu.Unlock()
	if err != nil {
		return err
	}
	s.publish()
	ctx, stop := context.WithTimeout(ctx, orderTimeout)
	defer stop()
	return s.flush(ctx)
}

// flush has the state saved, within a context's time.
func (s *Store) flush(ctx context.Context) error {
	if err := s.retryUntilDone(ctx, s.sync); err != nil {
		return fmt.Errorf("%w: %w", ErrNotSaved, err)
	}
	return nil
}

// retryUntilDone tries something with the file until it goes well or the time is over. A file system that hangs
// keeps one task waiting, and not the caller.
func (s *Store) retryUntilDone(ctx context.Context, try func() error) error {
	done := make(chan error, 1)
	go func() {
		for {
			err := s.withExclusiveFile(ctx, try)
			if err == nil || ctx.Err() != nil {
				done <- err
				return
			}
			select {
			case <-time.After(retryInterval):
			case <-ctx.Done():
			}
		}
	}()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return cmp.Or(s.LastError(), ctx.Err())
	}
}

// withExclusiveFile tries it while nobody else has the file in use.
func (s *Store) withExclusiveFile(ctx context.Context, try func() error) error {
	select {
	case s.fileSlot <- struct{}{}:
		defer func() { <-s.fileSlot }()
		return try()
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run follows the saved state and the predecessor's until the context ends, and saves what could not
// be saved before.
func (s *Store) Run(ctx context.Context) {
	t := time.NewTicker(syncInterval)
	defer t.Stop()
	defer s.handoff.close()
	for {
		s.handoff.listen(s)
		if before, answer := s.handoff.queryPredecessor(); answer == predecessorAnswered {
			s.mergeState(before)
		}
		_ = s.withExclusiveFile(ctx, s.sync) // a failure is told where it is noted
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// HasPredecessor tells whether a predecessor runs beside this process.
func (s *Store) HasPredecessor() bool {
	_, answer := s.handoff.queryPredecessor()
	return answer != noPredecessor
}

// Close saves what is not saved yet, within a context's time.
func (s *Store) Close(ctx context.Context) error { return s.flush(ctx) }

// sync reads the file if it has changed, and writes it if it lacks something. It is called alone.
func (s *Store) sync() error {
	err := s.load()
	if err == nil {
		err = s.save()
	}
	s.mu.Lock()
	was := s.lastError
	s.lastError = err
	s.mu.Unlock()
	switch {
	case err != nil && was == nil:
		slog.Error("maintenance_orders_save_failed", "path", s.path, "err", err)
	case err == nil && was != nil:
		slog.Info("maintenance_orders_saved", "path", s.path)
	}
	return err
}

// load takes over what the file has.
func (s *Store) load() error {
	stamp, err := s.options.FileSystem.Fingerprint(s.path)
	if err != nil {
		return err
	}
	s.mu.Lock()
	known := stamp == s.fingerprint
	s.mu.Unlock()
	if known {
		return nil
	}
	in := newState()
	if stamp != "" {
		text, err := s.options.FileSystem.ReadFile(s.path)
		if errors.Is(err, fs.ErrNotExist) {
			return nil // the next look tells
		}
		if err != nil {
			return err
		}
		if in, err = parseState(text); err != nil {
			return s.quarantine(err)
		}
	}
	s.mu.Lock()
	s.fingerprint, s.saved = stamp, in
	s.mu.Unlock()
	s.mergeState(in)
	return nil
}

// quarantine takes a file that is no state of ours out of the way, and keeps it.
func (s *Store) quarantine(damage error) error {
	aside := s.path + ".damaged"
	if err := s.options.FileSystem.Rename(s.path, aside); err != nil {
		return err
	}
	s.mu.Lock()
	if now := time.Now(); now.Sub(s.corruptionLoggedAt) >= corruptionLogInterval {
		s.corruptionLoggedAt = now
		slog.Error("maintenance_orders_corrupted", "path", s.path, "err", damage, "set_aside", aside)
	}
	s.fingerprint, s.saved = "", newState()
	s.mu.Unlock()
	return nil
}

// save writes the state, if the file lacks something of it.
func (s *Store) save() error {
	s.mu.Lock()
	now := s.state.clone()
	same := now.equal(s.saved)
	s.mu.Unlock()
	if same {
		return nil
	}
	stamp, err := s.options.FileSystem.WriteFileAtomic(s.path, now.marshal())
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.saved, s.fingerprint = now, stamp
	s.mu.Unlock()
	return nil
}

// mergeState merges what another process has ordered.
func (s *Store) mergeState(in state) {
	s.mu.Lock()
	changed := s.state.merge(in)
	s.mu.Unlock()
	if changed {
		s.publish()
	}
}

// publish has what is ordered in force.
func (s *Store) publish() {
	s.mu.Lock()
	out := map[string]struct{}{}
	for id, o := range s.state.Replicas {
		if o.Active {
			out[id] = struct{}{}
		}
	}
	s.ejected.Store(&out)
	s.mu.Unlock()
	if changed := s.onChange.Load(); changed != nil {
		(*changed)()
	}
}

// OnChange has a function called, by any task, after what is ordered has changed; and once now.
func (s *Store) OnChange(changed func()) {
	s.onChange.Store(&changed)
	changed()
}

// snapshot is the state as text, for a successor.
func (s *Store) snapshot() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.marshal()
}
