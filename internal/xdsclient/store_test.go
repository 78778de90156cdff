package xdsclient

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"archknot/internal/configversion"
	pb "archknot/internal/configversion/configpb"
)

// Guards against a store that cannot be read after a torn write. The test restores the meta pages and a random
// subset of the other pages to their state before a write; the store must then have the previous version.
func TestStoreSurvivesKills(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "store")
	rng := rand.New(rand.NewPCG(1, 2))
	config := func(n uint64) *configversion.Config {
		c := &configversion.Config{}
		manifest, _ := proto.Marshal(&pb.Version{Number: n})
		part, err := Decode(configversion.TypeVersion, [][]byte{manifest})
		if err != nil {
			t.Fatal(err)
		}
		c.Number = part.Manifest.Number
		part.MergeInto(c)
		return c
	}
	last := configversion.Number(0)
	for round := range 200 {
		s, aside, err := OpenStore(path)
		if err != nil || aside != "" {
			t.Fatal(err, aside)
		}
		c, _, err := s.Load()
		if err != nil || c != nil && c.Number != last || c == nil && last != 0 {
			t.Fatalf("round %d: %+v, %v; last was %d", round, c, err, last)
		}
		before, _ := os.ReadFile(path)
		n := uint64(round + 1)
		if err := s.SaveVersion(config(n), []configversion.Number{3}); err != nil {
			t.Fatal(err)
		}
		s.Close()
		after, _ := os.ReadFile(path)
		// Torn write: some pages of the transaction have reached the disk, but not the meta
		// page, which is written last.
		torn := append([]byte(nil), after...)
		page := os.Getpagesize()
		complete := rng.IntN(3) == 0
		if !complete {
			for _, metaPage := range []int{0, 1} { // restore the meta pages
				if metaPage*page+page <= len(before) {
					copy(torn[metaPage*page:(metaPage+1)*page], before[metaPage*page:(metaPage+1)*page])
				}
			}
			for p := 2; p*page+page <= min(len(before), len(torn)); p++ {
				if rng.IntN(2) == 0 {
					copy(torn[p*page:(p+1)*page], before[p*page:(p+1)*page])
				}
			}
			if len(before) == 0 {
				complete = true
				torn = after
			}
		}
		if err := os.WriteFile(path, torn, 0o600); err != nil {
			t.Fatal(err)
		}
		if complete {
			last = configversion.Number(n)
		}
	}
}

// A corrupted store is set aside, and an empty one replaces it.
func TestDamagedStoreIsSetAside(t *testing.T) {
	path := filepath.Join(t.TempDir(), "store")
	for _, text := range []string{"not a store", strings.Repeat("\xff", 64<<10)} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		s, aside, err := OpenStore(path)
		if err != nil || aside == "" {
			t.Fatal(err, aside)
		}
		if damaged, _ := os.ReadFile(aside); string(damaged) != text {
			t.Error("the damaged file was changed")
		}
		if c, _, err := s.Load(); c != nil || err != nil {
			t.Error(c, err)
		}
		if info, _ := os.Stat(path); info.Mode().Perm() != 0o600 {
			t.Error(info.Mode())
		}
		s.Close()
	}
}

func TestHistoryIsBounded(t *testing.T) {
	s, _, err := OpenStore(filepath.Join(t.TempDir(), "store"))
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	for i := range maxHistoryEntries + 50 {
		if err := s.AppendHistory(HistoryEntry{Version: configversion.Number(i)}); err != nil {
			t.Fatal(err)
		}
	}
	h, err := s.History()
	if err != nil || len(h) != maxHistoryEntries || h[len(h)-1].Version != maxHistoryEntries+49 {
		t.Errorf("history has %d entries, error %v", len(h), err)
	}
}
