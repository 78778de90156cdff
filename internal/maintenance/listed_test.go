package maintenance

import (
	"context"
	"fmt"
	"os"
	"strings"
	"testing"
)

// A later process knows the replicas that discovery listed to an earlier one: from the file, and from a predecessor that
// cannot write it.
func TestListedReplicasOutliveProcess(t *testing.T) {
	dir := t.TempDir()
	s, end := openStore(t, dir, nil, true)
	s.RecordListed([]string{"s-1", "s-2"})
	waitUntil(t, "saved", func() bool {
		content, _ := os.ReadFile(s.path)
		return strings.Contains(string(content), `"listed":["s-1","s-2"]`)
	})
	if err := os.Remove(s.path); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "saved again", func() bool { _, err := os.Stat(s.path); return err == nil })
	end()
	if next, _ := openStore(t, dir, nil, false); !next.WasListed("s-1") || !next.WasListed("s-2") || next.WasListed("s-3") {
		t.Errorf("after a restart: %v", next.listed.ids)
	}
	broken := &flakyFileSystem{}
	broken.broken.Store(true)
	old, _ := openStore(t, t.TempDir(), broken, true)
	old.RecordListed([]string{"s-4"})
	successor := Open(old.options)
	if !successor.WasListed("s-4") {
		t.Error("not handed over on a broken disk")
	}
	running, cancel := context.WithCancel(context.Background())
	defer cancel()
	go successor.Run(running)
	old.RecordListed([]string{"s-5"})
	waitUntil(t, "the successor learns of a later list", func() bool { return successor.WasListed("s-5") })
}

// However many replicas come and go, the ids that are kept are bounded, and the oldest go first.
func TestListedReplicasAreBounded(t *testing.T) {
	for length, kept := range map[int]int{10: maxListedReplicas, maxReplicaIDLength: maxListedBytes / maxReplicaIDLength, maxReplicaIDLength + 1: 0} {
		var l listedReplicas
		const total = maxListedReplicas + 100
		for i := range total {
			l.add(fmt.Sprintf("%0*d", length, i))
		}
		_, oldest := l.known[fmt.Sprintf("%0*d", length, total-kept)]
		if len(l.ids) != kept || len(l.known) != kept || l.byteCount != kept*length || oldest != (kept > 0) {
			t.Errorf("ids of %d bytes: %d kept with %d bytes, want %d", length, len(l.ids), l.byteCount, kept)
		}
	}
}
