// Package experiment tries variants of a plan against each other on the fleet model:
// each with each workload and seed, in parallel, and tells what the pairs of runs
// tell. Results are kept one by one: a run that was ended goes on where it stood.
package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/bbolt"

	"archknot/internal/boltfile"
	"archknot/internal/config"
	"archknot/internal/fleet/model"
)

// Run is one run's place among the others.
type Run struct {
	Variant  string `json:"variant"`
	Workload string `json:"workload"`
	Seed     uint64 `json:"seed"`
}

func (r Run) key() []byte { return fmt.Appendf(nil, "%s/%s/%d", r.Variant, r.Workload, r.Seed) }

// Record is a run with its result.
type Record struct {
	Run
	Result *model.Result `json:"result"`
}

var (
	runsBucket = []byte("runs")
	planBucket = []byte("plan")
	planKey    = []byte("digest")
)

// Store keeps records. A run is one transaction: a kill loses those under way.
type Store struct{ db *bbolt.DB }

// ErrOtherPlan says that a folder has the results of another plan.
var ErrOtherPlan = errors.New("it has the results of another plan")

// OpenStore opens the results of a plan in a folder; plan nil: whatever plan's. One
// that is damaged is set aside.
func OpenStore(dir string, plan []byte) (s *Store, aside string, err error) {
	db, aside, err := boltfile.Open(filepath.Join(dir, "results.db"), [][]byte{runsBucket, planBucket}, func(db *bbolt.DB) error {
		_, err := (&Store{db}).Records()
		return err
	})
	if err != nil {
		return nil, aside, err
	}
	s = &Store{db}
	if plan == nil {
		return s, aside, nil
	}
	digest := strconv.AppendUint(nil, xxhash.Sum64(plan), 16)
	err = db.Update(func(tx *bbolt.Tx) error {
		b := tx.Bucket(planBucket)
		if was := b.Get(planKey); was != nil && !bytes.Equal(was, digest) {
			return ErrOtherPlan
		}
		return b.Put(planKey, digest)
	})
	if err != nil {
		db.Close()
		return nil, aside, err
	}
	return s, aside, nil
}

// Close closes the store.
func (s *Store) Close() error { return s.db.Close() }

// Records are those that are done, by variant, workload and seed.
func (s *Store) Records() (out []Record, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		return tx.Bucket(runsBucket).ForEach(func(_, text []byte) error {
			var r Record
			if err := json.Unmarshal(text, &r); err != nil {
				return err
			}
			out = append(out, r)
			return nil
		})
	})
	return out, err
}

func (s *Store) has(r Run) (ok bool) {
	_ = s.db.View(func(tx *bbolt.Tx) error {
		ok = tx.Bucket(runsBucket).Get(r.key()) != nil
		return nil
	})
	return ok
}

func (s *Store) put(r Record) error {
	text, err := json.Marshal(r)
	if err != nil {
		return err
	}
	return s.db.Update(func(tx *bbolt.Tx) error { return tx.Bucket(runsBucket).Put(r.key(), text) })
}

// Options of an experiment.
type Options struct {
	Jobs     int // at once; 0: as many as there are cores
	Progress func(done, all int)
}

// RunPlan runs what a plan asks for and the store does not have yet.
func RunPlan(ctx context.Context, p *config.Plan, s *Store, o Options) error {
	var todo []func() (Record, error)
	all := 0
	for seed := uint64(1); seed <= uint64(p.Seeds); seed++ { // pairs first, so that an early look can compare
		for _, w := range p.Workloads {
			for _, v := range p.Variants {
				all++
				run := Run{v.Name, w.Name, seed}
				if s.has(run) {
					continue
				}
				todo = append(todo, func() (Record, error) {
					res, err := runOnce(ctx, p, v, w, seed)
					return Record{run, res}, err
				})
			}
		}
	}
	if o.Jobs <= 0 {
		o.Jobs = runtime.GOMAXPROCS(0)
	}
	done := all - len(todo)
	if o.Progress != nil {
		o.Progress(done, all)
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var mu sync.Mutex
	var first error
	work := make(chan func() (Record, error))
	var tasks sync.WaitGroup
	for range min(o.Jobs, max(1, len(todo))) {
		tasks.Add(1)
		go func() {
			defer tasks.Done()
			for f := range work {
				r, err := f()
				mu.Lock()
				if err == nil {
					err = s.put(r)
				}
				if err != nil && first == nil {
					first = fmt.Errorf("%s: %w", r.key(), err)
					stop()
				}
				done++
				if o.Progress != nil && err == nil {
					o.Progress(done, all)
				}
				mu.Unlock()
			}
		}()
	}
	for _, f := range todo {
		select {
		case work <- f:
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			break
		}
	}
	close(work)
	tasks.Wait()
	if first != nil {
		return first
	}
	return ctx.Err()
}

// runOnce runs one variant, here or by another build's program.
func runOnce(ctx context.Context, p *config.Plan, v, w config.Variant, seed uint64) (*model.Result, error) {
	if v.Program == "" {
		spec, err := p.Spec(v, w, seed)
		if err != nil {
			return nil, err
		}
		return model.Run(spec)
	}
	cmd := exec.CommandContext(ctx, v.Program, "experiment", "one", p.File, "--variant", v.Name, "--workload", w.Name, "--seed", strconv.FormatUint(seed, 10))
	cmd.Stderr = os.Stderr
	out, err := cmd.Output()
	if err != nil {
		return nil, fmt.Errorf("%s: %w", v.Program, err)
	}
	res := &model.Result{}
	return res, json.Unmarshal(out, res)
}
