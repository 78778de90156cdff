// Package ledger keeps teams' balances over restarts and kills. What is written,
// and how much above what was used, package contract decides; here is the disk.
package ledger

import (
	"fmt"
	"sync"

	"go.etcd.io/bbolt"
	"google.golang.org/protobuf/proto"

	"archknot/internal/boltfile"
	"archknot/internal/contract"
	pb "archknot/internal/contract/contractpb"
)

var balancesBucket = []byte("balances")

// maxTeams bounds the teams that a store keeps: those of contracts long gone are
// dropped past it, the one not written for longest first.
const maxTeams = 20_000

// Store is a file of balances by team. A checkpoint is one transaction: a kill at
// any point leaves the state of before or the state after.
type Store struct{ db *bbolt.DB }

// Open opens the store at a path, mode 0600. One that is damaged is set aside, and
// aside is its new name: a new one takes its place.
func Open(path string) (s *Store, aside string, err error) {
	db, aside, err := boltfile.Open(path, [][]byte{balancesBucket}, func(db *bbolt.DB) error {
		_, err := (&Store{db}).Load()
		return err
	})
	if err != nil {
		return nil, aside, err
	}
	return &Store{db}, aside, nil
}

// Close closes the store.
func (s *Store) Close() error { return s.db.Close() }

// Load is all balances, by team.
func (s *Store) Load() (out []contract.Balance, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		return tx.Bucket(balancesBucket).ForEach(func(team, text []byte) error {
			var m pb.Balance
			if err := proto.Unmarshal(text, &m); err != nil {
				return fmt.Errorf("balance of %q: %w", team, err)
			}
			out = append(out, contract.BalanceFromProto(&m))
			return nil
		})
	})
	return out, err
}

// Write puts balances in the place of the teams' earlier ones.
func (s *Store) Write(list []contract.Balance) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		b := tx.Bucket(balancesBucket)
		for i := range list {
			text, err := proto.Marshal(list[i].ToProto())
			if err != nil {
				return err
			}
			if err := b.Put([]byte(list[i].Team), text); err != nil {
				return err
			}
		}
		return s.prune(b)
	})
}

// prune drops the balances written longest ago past the bound.
func (s *Store) prune(b *bbolt.Bucket) error {
	for n := b.Stats().KeyN; n > maxTeams; n-- {
		var oldest []byte
		at := int64(0)
		err := b.ForEach(func(team, text []byte) error {
			var m pb.Balance
			if err := proto.Unmarshal(text, &m); err != nil {
				return err
			}
			if oldest == nil || m.LatestUs < at {
				oldest, at = append([]byte(nil), team...), m.LatestUs
			}
			return nil
		})
		if err != nil {
			return err
		}
		if err := b.Delete(oldest); err != nil {
			return err
		}
	}
	return nil
}

// Writer writes checkpoints one after another in a task of its own, so that a slow
// disk holds nobody up. One at a time is on its way.
type Writer struct {
	store     *Store
	jobs      chan writeJob
	stopped   sync.WaitGroup
	onWritten func(number uint64, err error)
}

type writeJob struct {
	number   uint64
	balances []contract.Balance
}

// NewWriter starts the task. It tells of each checkpoint how it went.
func NewWriter(s *Store, told func(number uint64, err error)) *Writer {
	w := &Writer{store: s, jobs: make(chan writeJob, 1), onWritten: told}
	w.stopped.Add(1)
	go func() {
		defer w.stopped.Done()
		for j := range w.jobs {
			w.onWritten(j.number, s.Write(j.balances))
		}
	}()
	return w
}

// Write hands a checkpoint over; false says that one waits already.
func (w *Writer) Write(number uint64, list []contract.Balance) bool {
	select {
	case w.jobs <- writeJob{number, list}:
		return true
	default:
		return false
	}
}

// Close ends the task after what was handed over; the store stays open.
func (w *Writer) Close() {
	close(w.jobs)
	w.stopped.Wait()
}
