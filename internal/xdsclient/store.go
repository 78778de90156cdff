package xdsclient

import (
	"encoding/binary"
	"encoding/json"
	"time"

	"go.etcd.io/bbolt"

	"archknot/internal/boltfile"
	"archknot/internal/configversion"
)

// Store keeps the last good version, those that must not be taken again, and a
// history, over restarts. Each change is one transaction: a kill at any point
// leaves the state of before or the state after.
type Store struct{ db *bbolt.DB }

var (
	stateBucket   = []byte("state")
	historyBucket = []byte("history")
	inForceKey    = []byte("force")
	rejectedKey   = []byte("never")
)

// maxHistoryEntries bounds the lines of the history.
const maxHistoryEntries = 1000

// HistoryEntry is one line of the history.
type HistoryEntry struct {
	At      time.Time            `json:"at"`
	Version configversion.Number `json:"version"`
	Event   string               `json:"what"`
	Reason  string               `json:"reason,omitempty"`
}

// OpenStore opens the store at a path, mode 0600. One that is damaged is set
// aside, and aside is its new name: a new one takes its place.
func OpenStore(path string) (s *Store, aside string, err error) {
	db, aside, err := boltfile.Open(path, [][]byte{stateBucket, historyBucket}, func(db *bbolt.DB) error {
		_, _, err := (&Store{db}).Load()
		return err
	})
	if err != nil {
		return nil, aside, err
	}
	return &Store{db}, aside, nil
}

// Close closes the store.
func (s *Store) Close() error { return s.db.Close() }

// Load is the last good version, nil if there is none, and those that must not be
// taken again.
func (s *Store) Load() (c *configversion.Config, never []configversion.Number, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		b := tx.Bucket(stateBucket)
		if text := b.Get(rejectedKey); text != nil {
			if err := json.Unmarshal(text, &never); err != nil {
				return err
			}
		}
		text := b.Get(inForceKey)
		if text == nil {
			return nil
		}
		var err error
		c, err = UnmarshalConfig(append([]byte(nil), text...))
		return err
	})
	return c, never, err
}

// SaveVersion puts a version in the place of the last good one; nil is the files.
func (s *Store) SaveVersion(c *configversion.Config, never []configversion.Number) error {
	list, err := json.Marshal(never)
	if err != nil {
		return err
	}
	var text []byte
	if c != nil {
		if text, err = MarshalConfig(c); err != nil {
			return err
		}
	}
	return s.db.Update(func(tx *bbolt.Tx) error {
		b := tx.Bucket(stateBucket)
		if err := b.Put(rejectedKey, list); err != nil {
			return err
		}
		if text == nil {
			return b.Delete(inForceKey)
		}
		return b.Put(inForceKey, text)
	})
}

// AppendHistory adds a line to the history and drops the oldest past the bound.
func (s *Store) AppendHistory(l HistoryEntry) error {
	text, err := json.Marshal(l)
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

// History lists the lines, the oldest first.
func (s *Store) History() (out []HistoryEntry, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		return tx.Bucket(historyBucket).ForEach(func(_, text []byte) error {
			var l HistoryEntry
			if err := json.Unmarshal(text, &l); err != nil {
				return err
			}
			out = append(out, l)
			return nil
		})
	})
	return out, err
}
