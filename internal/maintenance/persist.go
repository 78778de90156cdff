package maintenance

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"time"
)

const (
	// corruptionLogInterval is the minimum time between two log lines about corrupted files.
	corruptionLogInterval = 10 * time.Second
	// quarantineSuffix is appended to the name of a corrupted file.
	quarantineSuffix = ".damaged"
)

// flush saves the state, with retries until the context ends. An error wraps ErrNotSaved.
func (s *Store) flush(ctx context.Context) error {
	if err := s.retryUntilDone(ctx, s.sync); err != nil {
		return fmt.Errorf("%w: %w", ErrNotSaved, err)
	}
	return nil
}

// retryUntilDone retries an operation on the file until it succeeds or the context ends. The operation runs
// in another goroutine, so that a file system that hangs does not block the caller.
func (s *Store) retryUntilDone(ctx context.Context, operation func() error) error {
	done := make(chan error, 1)
	go func() {
		for {
			err := s.withExclusiveFile(ctx, operation)
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

// withExclusiveFile runs an operation while no other goroutine of this process uses the file.
func (s *Store) withExclusiveFile(ctx context.Context, operation func() error) error {
	select {
	case s.fileSemaphore <- struct{}{}:
		defer func() { <-s.fileSemaphore }()
		return operation()
	case <-ctx.Done():
		return ctx.Err()
	}
}

// sync reads the file if it has changed, and writes it if it differs from the state. The caller holds
// fileSemaphore.
func (s *Store) sync() error {
	err := s.load()
	if err == nil {
		err = s.save()
	}
	s.mu.Lock()
	previous := s.lastError
	s.lastError = err
	s.mu.Unlock()
	switch {
	case err != nil && previous == nil:
		slog.Error("maintenance_orders_save_failed", "path", s.path, "err", err)
	case err == nil && previous != nil:
		slog.Info("maintenance_orders_saved", "path", s.path)
	}
	return err
}

// load merges the orders of the file if the file has changed. The caller holds fileSemaphore.
func (s *Store) load() error {
	fingerprint, err := s.options.FileSystem.Fingerprint(s.path)
	if err != nil {
		return err
	}
	s.mu.Lock()
	unchanged := fingerprint == s.fingerprint
	s.mu.Unlock()
	if unchanged {
		return nil
	}
	stored := newState()
	if fingerprint != "" {
		content, err := s.options.FileSystem.ReadFile(s.path)
		if errors.Is(err, fs.ErrNotExist) {
			return nil // removed since; the next sync detects it
		}
		if err != nil {
			return err
		}
		if stored, err = parseState(content); err != nil {
			return s.quarantine(err)
		}
	}
	s.mergeState(stored)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listed.recordFileContent(stored.Listed)
	stored.Listed = nil
	s.fingerprint = fingerprint
	s.saved = stored
	return nil
}

// quarantine renames a corrupted file, so that it can be examined and a new one can be written. The
// caller holds fileSemaphore.
func (s *Store) quarantine(corruption error) error {
	quarantinePath := s.path + quarantineSuffix
	if err := s.options.FileSystem.Rename(s.path, quarantinePath); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); now.Sub(s.corruptionLoggedAt) >= corruptionLogInterval {
		s.corruptionLoggedAt = now
		slog.Error("maintenance_orders_corrupted", "path", s.path, "err", corruption, "set_aside", quarantinePath)
	}
	s.fingerprint = ""
	s.saved = newState()
	s.listed.recordFileContent(nil)
	return nil
}

// save writes the state if the file lacks a part of it. The caller holds fileSemaphore.
func (s *Store) save() error {
	s.mu.Lock()
	unchanged := s.state.equal(s.saved) && s.listed.saved()
	if unchanged {
		s.mu.Unlock()
		return nil
	}
	current, additions := s.currentState(), s.listed.additions
	s.mu.Unlock()
	fingerprint, err := s.options.FileSystem.WriteFileAtomic(s.path, current.marshal())
	if err != nil {
		return err
	}
	current.Listed = nil
	s.mu.Lock()
	defer s.mu.Unlock()
	s.saved = current
	s.listed.savedAdditions = additions
	s.fingerprint = fingerprint
	return nil
}
