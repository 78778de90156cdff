package experiment

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"path/filepath"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/bbolt"

	"archknot/internal/boltfile"
	"archknot/internal/fleet/model"
)

// FileName is the name of a store's file in its directory.
const FileName = "results.db"

var (
	runsBucket = []byte("runs")
	planBucket = []byte("plan")
	planKey    = []byte("digest")
)

// ErrOtherPlan reports that a directory has the results of another plan.
var ErrOtherPlan = errors.New("the directory has the results of another plan")

// Run identifies a run of an experiment: one variant on one workload with one seed.
type Run struct {
	Variant  string `json:"variant"`
	Workload string `json:"workload"`
	Seed     uint64 `json:"seed"`
}

// String returns the run's key in the store, "variant/workload/seed".
func (r Run) String() string { return fmt.Sprintf("%s/%s/%d", r.Variant, r.Workload, r.Seed) }

func (r Run) key() []byte { return []byte(r.String()) }

// Record is a run with its result, as it is stored.
type Record struct {
	Run
	Result *model.Result `json:"result"`
}

// Store contains the records of an experiment in a file. Each record is written in a transaction of its own, so
// that a killed process loses only the runs in progress.
type Store struct{ db *bbolt.DB }

// OpenStore opens the store of a plan's results in a directory. plan is the text of the plan; a nil plan accepts
// the results of any plan. It returns ErrOtherPlan if the directory has the results of another plan. A damaged
// file is renamed, and setAside is its new name.
func OpenStore(dir string, plan []byte) (s *Store, setAside string, err error) {
	readable := func(db *bbolt.DB) error {
		_, err := (&Store{db}).Records()
		return err
	}
	db, setAside, err := boltfile.Open(filepath.Join(dir, FileName), [][]byte{runsBucket, planBucket}, readable)
	if err != nil {
		return nil, setAside, err
	}
	s = &Store{db}
	if plan == nil {
		return s, setAside, nil
	}
	if err := s.setPlan(plan); err != nil {
		db.Close()
		return nil, setAside, err
	}
	return s, setAside, nil
}

// setPlan stores the plan's digest. It returns ErrOtherPlan if a different digest is stored.
func (s *Store) setPlan(plan []byte) error {
	digest := strconv.AppendUint(nil, xxhash.Sum64(plan), 16)
	return s.db.Update(func(tx *bbolt.Tx) error {
		bucket := tx.Bucket(planBucket)
		if stored := bucket.Get(planKey); stored != nil && !bytes.Equal(stored, digest) {
			return ErrOtherPlan
		}
		return bucket.Put(planKey, digest)
	})
}

// Close closes the store's file. The store must not be used afterwards.
func (s *Store) Close() error { return s.db.Close() }

// Records returns all records in the order of their keys (see Run.String).
func (s *Store) Records() (records []Record, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		return tx.Bucket(runsBucket).ForEach(func(key, text []byte) error {
			var r Record
			if err := json.Unmarshal(text, &r); err != nil {
				return fmt.Errorf("run %s: %w", key, err)
			}
			records = append(records, r)
			return nil
		})
	})
	return records, err
}

// has reports whether the store contains a run's record.
func (s *Store) has(r Run) (found bool, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		found = tx.Bucket(runsBucket).Get(r.key()) != nil
		return nil
	})
	return found, err
}

func (s *Store) put(r Record) error {
	text, err := json.Marshal(r)
	if err != nil {
		return err
	}
	return s.db.Update(func(tx *bbolt.Tx) error { return tx.Bucket(runsBucket).Put(r.key(), text) })
}
