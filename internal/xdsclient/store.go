package xdsclient

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"time"

	"go.etcd.io/bbolt"

	"archknot/internal/boltfile"
	"archknot/internal/configversion"
)

// Store persists the last good version, the versions that must not be applied again, and
// the history of events. Each change is one transaction: if the process is killed at any
// point, the store has the state before or the state after the change.
// While another process has the file open, a change fails with boltfile.ErrBusy.
type Store struct{ db *boltfile.Database }

// Names of the buckets, and of the keys in the state bucket.
var (
	stateBucket   = []byte("state")
	historyBucket = []byte("history")
	inForceKey    = []byte("force")
	rejectedKey   = []byte("never")
)

// maxHistoryEntries is the number of entries that the history retains.
const maxHistoryEntries = 1000

// HistoryEntry is one event in the life of a version.
type HistoryEntry struct {
	At      time.Time            `json:"at"`
	Version configversion.Number `json:"version"`
	Event   string               `json:"what"` // one of configversion's Event constants
	Reason  string               `json:"reason,omitempty"`
}

// OpenStore opens the store at a path, or creates it with mode 0600. A corrupted store is
// renamed and replaced by an empty one; setAside is then its new path. It is an error if
// another process has the store open.
func OpenStore(path string) (s *Store, setAside string, err error) {
	return openStore(path, boltfile.Exclusive)
}

// OpenStoreBesidePredecessor opens the store like OpenStore, but another process may have it
// open. Until that process ends, the store can only be read.
func OpenStoreBesidePredecessor(path string) (s *Store, setAside string, err error) {
	return openStore(path, boltfile.BesidePredecessor)
}

func openStore(path string, sharing boltfile.Sharing) (s *Store, setAside string, err error) {
	db, setAside, err := boltfile.OpenShared(path, [][]byte{stateBucket, historyBucket}, sharing, func(db boltfile.Reader) error {
		_, _, err := load(db)
		return err
	})
	if err != nil {
		return nil, setAside, err
	}
	return &Store{db}, setAside, nil
}

// Acquire opens the store if no other process has it open; else it returns boltfile.ErrBusy.
func (s *Store) Acquire() error { return s.db.Acquire() }

// Close closes the store's file.
func (s *Store) Close() error { return s.db.Close() }

// Load returns the last good version, or nil if there is none, and the versions that must not be applied again.
func (s *Store) Load() (c *configversion.Config, rejected []configversion.Number, err error) {
	return load(s.db)
}

func load(db boltfile.Reader) (c *configversion.Config, rejected []configversion.Number, err error) {
	err = db.View(func(tx *bbolt.Tx) error {
		b := tx.Bucket(stateBucket)
		if text := b.Get(rejectedKey); text != nil {
			if err := json.Unmarshal(text, &rejected); err != nil {
				return fmt.Errorf("%s/%s: %w", stateBucket, rejectedKey, err)
			}
		}
		data := b.Get(inForceKey)
		if data == nil {
			return nil
		}
		var err error
		if c, err = UnmarshalConfig(append([]byte(nil), data...)); err != nil {
			return fmt.Errorf("%s/%s: %w", stateBucket, inForceKey, err)
		}
		return nil
	})
	return c, rejected, err
}

// SaveVersion saves the last good version, where nil stands for the configuration files, and
// the versions that must not be applied again.
func (s *Store) SaveVersion(c *configversion.Config, rejected []configversion.Number) error {
	list, err := json.Marshal(rejected)
	if err != nil {
		return err
	}
	var data []byte
	if c != nil {
		if data, err = MarshalConfig(c); err != nil {
			return err
		}
	}
	return s.db.Update(func(tx *bbolt.Tx) error {
		b := tx.Bucket(stateBucket)
		if err := b.Put(rejectedKey, list); err != nil {
			return err
		}
		if data == nil {
			return b.Delete(inForceKey)
		}
		return b.Put(inForceKey, data)
	})
}

// AppendHistory appends an entry to the history, and deletes the oldest entries beyond maxHistoryEntries.
func (s *Store) AppendHistory(e HistoryEntry) error {
	text, err := json.Marshal(e)
	if err != nil {
		return err
	}
	return s.db.Update(func(tx *bbolt.Tx) error {
		b := tx.Bucket(historyBucket)
		n, err := b.NextSequence()
		if err != nil {
			return err
		}
		if err := b.Put(binary.BigEndian.AppendUint64(nil, n), text); err != nil {
			return err
		}
		c := b.Cursor()
		for k, _ := c.First(); k != nil && binary.BigEndian.Uint64(k)+maxHistoryEntries <= n; k, _ = c.First() {
			if err := b.Delete(k); err != nil {
				return err
			}
		}
		return nil
	})
}

// History returns the entries of the history, the oldest first.
func (s *Store) History() (entries []HistoryEntry, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		return tx.Bucket(historyBucket).ForEach(func(_, text []byte) error {
			var e HistoryEntry
			if err := json.Unmarshal(text, &e); err != nil {
				return err
			}
			entries = append(entries, e)
			return nil
		})
	})
	return entries, err
}
