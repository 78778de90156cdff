// Package ledger stores the balances of teams on disk, so that they survive restarts and
// kills. Package contract computes the balances, with a reserve above the actual usage.
package ledger

import (
	"bytes"
	"fmt"

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

// Store is a database file of balances by team. Each write is one transaction, so that a
// kill leaves either the old or the new state. A Store may be used by several goroutines.
type Store struct{ db *bbolt.DB }

// Open opens the store at a path, or creates it with mode 0600. A damaged file is renamed
// and replaced by an empty store; damaged is then its new name.
func Open(path string) (s *Store, damaged string, err error) {
	db, damaged, err := boltfile.Open(path, [][]byte{balancesBucket}, func(db *bbolt.DB) error {
		_, err := (&Store{db}).Load()
		return err
	})
	if err != nil {
		return nil, damaged, err
	}
	return &Store{db}, damaged, nil
}

// Close closes the database file. Later calls of Load and Write fail.
func (s *Store) Close() error { return s.db.Close() }

// Load returns all balances, sorted by the names of the teams.
func (s *Store) Load() (balances []contract.Balance, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		return tx.Bucket(balancesBucket).ForEach(func(team, text []byte) error {
			var m pb.Balance
			if err := proto.Unmarshal(text, &m); err != nil {
				return fmt.Errorf("decode balance of team %q: %w", team, err)
			}
			balances = append(balances, contract.BalanceFromProto(&m))
			return nil
		})
	})
	return balances, err
}

// Write replaces the balances of the given teams. On an error none of them is replaced.
func (s *Store) Write(balances []contract.Balance) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		bucket := tx.Bucket(balancesBucket)
		for i := range balances {
			team := balances[i].Team
			text, err := proto.Marshal(balances[i].ToProto())
			if err != nil {
				return fmt.Errorf("encode balance of team %q: %w", team, err)
			}
			if err := bucket.Put([]byte(team), text); err != nil {
				return fmt.Errorf("store balance of team %q: %w", team, err)
			}
		}
		return prune(bucket)
	})
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
