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
	// syncEvery is how often the saved state and the predecessor's are looked at, and saving tried again.
	syncEvery = 250 * time.Millisecond
	// orderWithin bounds how long an order waits to be saved, and saveAgain is the pause between tries.
	// Operators are owed an answer within a second.
	orderWithin, saveAgain = 600 * time.Millisecond, 40 * time.Millisecond
	// openWithin bounds how long the start waits for a file that cannot be read just now, and askWithin
	// for a predecessor that is there and does not tell.
	openWithin, askWithin = 600 * time.Millisecond, time.Second
)

// tellDamageEach bounds the lines about a file that is damaged again and again.
const tellDamageEach = 10 * time.Second

// ErrNotSaved says that an order is in force in this process, and could not be saved: it would not
// outlast the process. Saving goes on being tried.
var ErrNotSaved = errors.New("in force, but not saved")

// Options of a store.
type Options struct {
	Folder string // where the file is
	Name   string // the gateway's, and
	Listen string // its clients' address: who shares both is the same gateway
	Files  Files  // nil: the real file system
}

// Store is what operators have ordered.
type Store struct {
	o       Options
	path    string
	handoff handoff
	out     atomic.Pointer[map[string]struct{}] // replicas that are out, for whoever asks in passing
	changed atomic.Pointer[func()]

	mu      sync.Mutex // over what follows
	state   state
	saved   state // the file's text, as this process knows it
	stamp   string
	failed  error     // of the last try to save or read; nil: it went well
	damaged time.Time // when damage to the file was last told

	saving chan struct{} // holds one token while somebody reads or writes the file
}

// Open reads what was ordered before. Whatever becomes of the file, the store works: what cannot be
// read is tried again later.
func Open(o Options) *Store {
	if o.Files == nil {
		o.Files = disk{}
	}
	id := fnv.New64a()
	fmt.Fprintf(id, "%d\x00%s\x00%s\x00%s", os.Geteuid(), o.Name, o.Listen, o.Folder)
	base := fmt.Sprintf("archknot-%s-%016x", fileWord(o.Name), id.Sum64())
	s := &Store{o: o, path: filepath.Join(o.Folder, base+".orders"), handoff: handoff{name: "@" + base}, state: newState(), saved: newState(),
		saving: make(chan struct{}, 1)}
	s.publish()
	ctx, stop := context.WithTimeout(context.Background(), openWithin)
	err := s.until(ctx, s.load)
	stop()
	if err != nil {
		slog.Error("maintenance_orders_read_failed", "path", s.path, "err", err)
	}
	s.succeed()
	s.mu.Lock()
	n, drained := s.state.out(), s.state.Drain.On
	s.mu.Unlock()
	if n > 0 || drained {
		slog.Info("maintenance_orders_restored", "ejected_replicas", n, "drained", drained)
	}
	return s
}

// succeed takes over from a predecessor that runs beside. Where there is none, the process that was
// drained has ended, and its drain with it.
func (s *Store) succeed() {
	for end := time.Now().Add(askWithin); ; time.Sleep(saveAgain) {
		before, answer := s.handoff.fetch()
		switch {
		case answer == told:
			s.take(before)
			return
		case answer == silent && time.Now().Before(end):
			continue
		case answer == nobody:
			s.mu.Lock()
			if s.state.Drain.On {
				s.state.Drain = order{Number: s.state.next()}
			}
			s.mu.Unlock()
			s.publish()
		}
		return
	}
}

// fileWord is a name as it may stand in a file's name.
func fileWord(name string) string {
	word := strings.Map(func(c rune) rune {
		if c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' {
			return c
		}
		return '_'
	}, name)
	return word[:min(len(word), 40)]
}

// Out tells whether operators have a replica out. It never waits.
func (s *Store) Out(id string) bool {
	_, out := (*s.out.Load())[id]
	return out
}

// AllOut are the replicas that are out. The map is not to be changed.
func (s *Store) AllOut() map[string]struct{} { return *s.out.Load() }

// Known tells whether there was ever an order for a replica.
func (s *Store) Known(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.state.Replicas[id]
	return ok
}

// Drained tells whether operators have the gateway drained.
func (s *Store) Drained() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Drain.On
}

// Failed is why the state could not be read or saved at the last try; nil: it could.
func (s *Store) Failed() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failed
}

// SetOut takes a replica out or puts it back. It is in force when this returns, and saved unless the
// error says otherwise.
func (s *Store) SetOut(ctx context.Context, id string, out bool) error {
	if id == "" || len(id) > maxID {
		return fmt.Errorf("a replica's id has 1 to %d characters", maxID)
	}
	return s.enter(ctx, func(st *state) error {
		if o, known := st.Replicas[id]; known && o.On == out || !known && !out {
			return nil
		}
		return st.set(id, out)
	})
}

// SetDrained drains the gateway or ends that.
func (s *Store) SetDrained(ctx context.Context, drained bool) error {
	return s.enter(ctx, func(st *state) error {
		if st.Drain.On != drained {
			st.Drain = order{Number: st.next(), On: drained}
		}
		return nil
	})
}

// enter changes the state, and saves it within the time that operators wait.
func (s *Store) enter(ctx context.Context, change func(*state) error) error {
	s.mu.Lock()
	err := change(&s.state)
	s.mu.Unlock()
	if err != nil {
		return err
	}
	s.publish()
	ctx, stop := context.WithTimeout(ctx, orderWithin)
	defer stop()
	return s.saveWithin(ctx)
}

// saveWithin has the state saved, within a context's time.
func (s *Store) saveWithin(ctx context.Context) error {
	if err := s.until(ctx, s.sync); err != nil {
		return fmt.Errorf("%w: %w", ErrNotSaved, err)
	}
	return nil
}

// until tries something with the file until it goes well or the time is over. A file system that hangs
// keeps one task waiting, and not the caller.
func (s *Store) until(ctx context.Context, try func() error) error {
	done := make(chan error, 1)
	go func() {
		for {
			err := s.alone(ctx, try)
			if err == nil || ctx.Err() != nil {
				done <- err
				return
			}
			select {
			case <-time.After(saveAgain):
			case <-ctx.Done():
			}
		}
	}()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return cmp.Or(s.Failed(), ctx.Err())
	}
}

// alone tries it while nobody else has the file in use.
func (s *Store) alone(ctx context.Context, try func() error) error {
	select {
	case s.saving <- struct{}{}:
		defer func() { <-s.saving }()
		return try()
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run follows the saved state and the predecessor's until the context ends, and saves what could not
// be saved before.
func (s *Store) Run(ctx context.Context) {
	t := time.NewTicker(syncEvery)
	defer t.Stop()
	defer s.handoff.close()
	for {
		s.handoff.offer(s)
		if before, answer := s.handoff.fetch(); answer == told {
			s.take(before)
		}
		_ = s.alone(ctx, s.sync) // a failure is told where it is noted
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// Beside tells whether a predecessor runs beside this process.
func (s *Store) Beside() bool {
	_, answer := s.handoff.fetch()
	return answer != nobody
}

// Close saves what is not saved yet, within a context's time.
func (s *Store) Close(ctx context.Context) error { return s.saveWithin(ctx) }

// sync reads the file if it has changed, and writes it if it lacks something. It is called alone.
func (s *Store) sync() error {
	err := s.load()
	if err == nil {
		err = s.save()
	}
	s.mu.Lock()
	was := s.failed
	s.failed = err
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
	stamp, err := s.o.Files.Stamp(s.path)
	if err != nil {
		return err
	}
	s.mu.Lock()
	known := stamp == s.stamp
	s.mu.Unlock()
	if known {
		return nil
	}
	in := newState()
	if stamp != "" {
		text, err := s.o.Files.Read(s.path)
		if errors.Is(err, fs.ErrNotExist) {
			return nil // the next look tells
		}
		if err != nil {
			return err
		}
		if in, err = parse(text); err != nil {
			return s.setAside(err)
		}
	}
	s.mu.Lock()
	s.stamp, s.saved = stamp, in
	s.mu.Unlock()
	s.take(in)
	return nil
}

// setAside takes a file that is no state of ours out of the way, and keeps it.
func (s *Store) setAside(damage error) error {
	aside := s.path + ".damaged"
	if err := s.o.Files.Aside(s.path, aside); err != nil {
		return err
	}
	s.mu.Lock()
	if now := time.Now(); now.Sub(s.damaged) >= tellDamageEach {
		s.damaged = now
		slog.Error("maintenance_orders_corrupted", "path", s.path, "err", damage, "set_aside", aside)
	}
	s.stamp, s.saved = "", newState()
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
	stamp, err := s.o.Files.Replace(s.path, now.text())
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.saved, s.stamp = now, stamp
	s.mu.Unlock()
	return nil
}

// take merges what another process has ordered.
func (s *Store) take(in state) {
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
		if o.On {
			out[id] = struct{}{}
		}
	}
	s.out.Store(&out)
	s.mu.Unlock()
	if changed := s.changed.Load(); changed != nil {
		(*changed)()
	}
}

// Follow has a function called, by any task, after what is ordered has changed; and once now.
func (s *Store) Follow(changed func()) {
	s.changed.Store(&changed)
	changed()
}

// current is the state as text, for a successor.
func (s *Store) current() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.text()
}
