// Package ledger stores the balances of teams on disk, so that they survive restarts and
// kills. Package contract computes the balances, with a reserve above the actual usage.
package ledger

import (
	"bytes"
	"errors"
	"fmt"
	"sync"

	"go.etcd.io/bbolt"
	"google.golang.org/protobuf/proto"

	"archknot/internal/boltfile"
	"archknot/internal/contract"
	pb "archknot/internal/contract/contractpb"
)

// balancesBucket maps the name of a team to its encoded contractpb.Balance.
var balancesBucket = []byte("balances")

// maxTeams bounds the number of balances in a store. Beyond it the balances with the
// oldest time of writing are deleted: those of contracts that were removed long ago.
const maxTeams = 20_000

// ErrBusy is returned by Write while another process has the store open.
var ErrBusy = boltfile.ErrBusy

// Store is a database file of balances by team. Each write is one transaction, so that a
// kill leaves either the old or the new state. A Store may be used by several goroutines.
type Store struct {
	db *boltfile.Database

	mu        sync.Mutex
	copied    []contract.Balance          // read while another process had the file open; nil: none
	inherited map[string]contract.Balance // usage that the other process has stored since then, by team
}

// Open opens the store at a path, or creates it with mode 0600. A damaged file is renamed
// and replaced by an empty store; damaged is then its new name. It is an error if another
// process has the store open.
func Open(path string) (s *Store, damaged string, err error) {
	return open(path, boltfile.Exclusive)
}

// OpenBesidePredecessor opens the store like Open, but another process may have it open. Until
// that process ends, Load returns a copy and Write fails with ErrBusy; the first Write after that
// keeps what the other process has stored meanwhile.
func OpenBesidePredecessor(path string) (s *Store, damaged string, err error) {
	return open(path, boltfile.BesidePredecessor)
}

func open(path string, sharing boltfile.Sharing) (s *Store, damaged string, err error) {
	db, damaged, err := boltfile.OpenShared(path, [][]byte{balancesBucket}, sharing, func(db boltfile.Reader) error {
		_, err := load(db)
		return err
	})
	if err != nil {
		return nil, damaged, err
	}
	return &Store{db: db}, damaged, nil
}

// Acquire opens the store if no other process has it open; else it returns ErrBusy. Write does so too.
func (s *Store) Acquire() error { return s.db.Acquire() }

// Close closes the database file. Later calls of Load and Write fail.
func (s *Store) Close() error { return s.db.Close() }

// Load returns all balances, sorted by the names of the teams.
func (s *Store) Load() (balances []contract.Balance, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.copied != nil {
		return s.copied, nil
	}
	busy := errors.Is(s.db.Acquire(), ErrBusy)
	if balances, err = load(s.db); err == nil && busy {
		s.copied = append([]contract.Balance{}, balances...)
	}
	return balances, err
}

func load(db boltfile.Reader) (balances []contract.Balance, err error) {
	err = db.View(func(tx *bbolt.Tx) error {
		balances, err = readBalances(tx)
		return err
	})
	return balances, err
}

func readBalances(tx *bbolt.Tx) (balances []contract.Balance, err error) {
	err = tx.Bucket(balancesBucket).ForEach(func(team, text []byte) error {
		var m pb.Balance
		if err := proto.Unmarshal(text, &m); err != nil {
			return fmt.Errorf("decode balance of team %q: %w", team, err)
		}
		balances = append(balances, contract.BalanceFromProto(&m))
		return nil
	})
	return balances, err
}

// Write replaces the balances of the given teams. On an error none of them is replaced.
func (s *Store) Write(balances []contract.Balance) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	inherited := s.inherited
	err := s.db.Update(func(tx *bbolt.Tx) error {
		if s.copied != nil {
			stored, err := readBalances(tx)
			if err != nil {
				return err
			}
			inherited = usageSince(s.copied, stored)
		}
		return writeBalances(tx, balances, inherited)
	})
	if err == nil {
		s.copied, s.inherited = nil, inherited
	}
	return err
}

// writeBalances writes balances with the inherited usage.
func writeBalances(tx *bbolt.Tx, balances []contract.Balance, inherited map[string]contract.Balance) error {
	bucket := tx.Bucket(balancesBucket)
	for i := range balances {
		team := balances[i].Team
		balance := addUsage(balances[i], inherited[team])
		text, err := proto.Marshal(balance.ToProto())
		if err != nil {
			return fmt.Errorf("encode balance of team %q: %w", team, err)
		}
		if err := bucket.Put([]byte(team), text); err != nil {
			return fmt.Errorf("store balance of team %q: %w", team, err)
		}
	}
	return prune(bucket)
}

// prune deletes the oldest balances until at most maxTeams are left.
func prune(bucket *bbolt.Bucket) error {
	for n := bucket.Stats().KeyN; n > maxTeams; n-- {
		team, err := oldest(bucket)
		if err != nil {
			return err
		}
		if err := bucket.Delete(team); err != nil {
			return fmt.Errorf("delete balance of team %q: %w", team, err)
		}
	}
	return nil
}

// oldest returns the team whose balance has the earliest time of writing.
func oldest(bucket *bbolt.Bucket) (oldest []byte, err error) {
	oldestAt := int64(0)
	err = bucket.ForEach(func(team, text []byte) error {
		var m pb.Balance
		if err := proto.Unmarshal(text, &m); err != nil {
			return fmt.Errorf("decode balance of team %q: %w", team, err)
		}
		if oldest == nil || m.GetLatestUs() < oldestAt {
			oldest, oldestAt = bytes.Clone(team), m.GetLatestUs()
		}
		return nil
	})
	return oldest, err
}
