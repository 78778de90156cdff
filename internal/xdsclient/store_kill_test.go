package xdsclient

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"archknot/internal/configversion"
	pb "archknot/internal/configversion/configpb"
)

// storeWriterEnv is the environment variable with the path of the store in which the child
// process of TestStoreSurvivesSIGKILL saves versions until it is killed.
const storeWriterEnv = "ARCHKNOT_TEST_STORE_WRITER"

func TestMain(m *testing.M) {
	if path := os.Getenv(storeWriterEnv); path != "" {
		writeVersionsUntilKilled(path)
	}
	if os.Getenv(rollbackStoreEnv) != "" {
		rollBackUntilKilled()
	}
	os.Exit(m.Run())
}

func writeVersionsUntilKilled(path string) {
	s, _, err := OpenStore(path)
	if err != nil {
		fmt.Println("error", err)
		os.Exit(1)
	}
	c, _, err := s.Load()
	if err != nil {
		fmt.Println("error", err)
		os.Exit(1)
	}
	n := uint64(0)
	if c != nil {
		n = uint64(c.Number)
	}
	for {
		n++
		raw, _ := proto.Marshal(&pb.Version{Number: n})
		part, err := Decode(configversion.TypeVersion, [][]byte{raw})
		if err == nil {
			next := &configversion.Config{Number: configversion.Number(n)}
			part.MergeInto(next)
			if err = s.SaveVersion(next, []configversion.Number{1}); err == nil {
				err = s.AppendHistory(HistoryEntry{Version: next.Number, Event: configversion.EventApplied})
			}
		}
		if err != nil {
			fmt.Println("error", err)
			os.Exit(1)
		}
		fmt.Println(n)
	}
}

// Guards against a store that is corrupted, or lacks a saved version, after SIGKILL. A child
// process saves versions and is killed at a random time; the store must have the version that
// was reported last, or the one that was being saved.
func TestStoreSurvivesSIGKILL(t *testing.T) {
	path := filepath.Join(t.TempDir(), "store")
	rng := rand.New(rand.NewPCG(7, 7))
	last := uint64(0)
	for round := range 200 {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), storeWriterEnv+"="+path)
		out, err := cmd.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		in := bufio.NewScanner(out)
		reported := last
		for i, stop := 0, 1+rng.IntN(4); i < stop && in.Scan(); i++ {
			n, err := strconv.ParseUint(in.Text(), 10, 64)
			if err != nil {
				t.Fatalf("round %d: %s", round, in.Text())
			}
			reported = n
		}
		time.Sleep(time.Duration(rng.IntN(2000)) * time.Microsecond) // while the child saves further versions
		if err := cmd.Process.Kill(); err != nil {
			t.Fatal(err)
		}
		for in.Scan() {
			if n, err := strconv.ParseUint(in.Text(), 10, 64); err == nil {
				reported = n
			}
		}
		_ = cmd.Wait()
		s, aside, err := OpenStore(path)
		if err != nil || aside != "" {
			t.Fatalf("round %d: %v, set aside as %q", round, err, aside)
		}
		c, rejected, err := s.Load()
		if err != nil || c == nil || uint64(c.Number) < reported || uint64(c.Number) > reported+1 || len(rejected) != 1 {
			t.Fatalf("round %d: %+v, %v; reported was %d", round, c, err, reported)
		}
		if h, err := s.History(); err != nil || len(h) == 0 || uint64(h[len(h)-1].Version) > uint64(c.Number) {
			t.Fatalf("round %d: history %v, %v", round, len(h), err)
		}
		last = uint64(c.Number)
		s.Close()
	}
	if last < 200 {
		t.Errorf("only %d versions were saved", last)
	}
}
