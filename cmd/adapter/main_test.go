package main

import (
	"bytes"
	"fmt"
	"path/filepath"
	"strings"
	"testing"

	"archknot/internal/capture"
	"archknot/internal/replay"
)

const settingsFormat = `{"nInstances":3,"selfIndex":%d,"zone":"a","zones":["a"],"kinds":["k"],"discovery":"on_request",` +
	`"feedback":{"via":"inline"},"limits":{"maxAttempts":3,"cancelling":true,"secondCopies":true},"tickUs":4000,` +
	`"rules":{"startCapacity":0.12,"coldUs":24000000,"fallMultiple":4.0,"tipAfterUs":1500000},` +
	`"requestClasses":[{"name":"chat","targetUs":1200000,"deadlineUs":4000000,"points":1,"effect":"repeatable","streamed":true}]}`

// script returns the input for some of three instances; each batch has an event for each of them.
func script(instances ...int) string {
	var s strings.Builder
	clock := 1000
	batch := func(event func(i int) string) {
		fmt.Fprintf(&s, "TURN\t%d\n", clock)
		for _, i := range instances {
			fmt.Fprintf(&s, "ON\t%d\n%s\n", i, event(i))
		}
		s.WriteString("OVER_TO_YOU\n")
		clock += 4000
	}
	fmt.Fprintf(&s, "TURN\t0\nINVENTORY\t2\t3\nROW\tactive\t1\t1\t0\tk\t-\ta\nROW\tactive\t2\t1\t0\tk\t-\ta\n"+
		"ROW\tactive\t3\t1\t1\tk\t-\ta\nOVER_TO_YOU\n")
	batch(func(i int) string {
		return fmt.Sprintf("BORN\t%d\t"+settingsFormat+"\nMEMBERS\tSAVED\t1\t2", 100+i, i)
	})
	for n := range 200 {
		batch(func(i int) string {
			id := n*3 + i
			return fmt.Sprintf("JOB_IN\t%d\t0\t10\t%d\t4000000\t-\t-\t%016x\t100\t%016x\tchat", id, 500+n, n%5, id%17)
		})
		if n%3 == 2 {
			batch(func(i int) string { return "TIMER\t0" })
			batch(func(i int) string { return fmt.Sprintf("LAPSED\t%d", (n-1)*3+i) })
		}
	}
	batch(func(i int) string { return "KILL" })
	return s.String()
}

// actions runs a script and returns the actions of each instance.
func actions(t *testing.T, in string) map[string]string {
	t.Helper()
	var out bytes.Buffer
	if err := run(strings.NewReader(in), &out, "", false); err != nil {
		t.Fatal(err)
	}
	got, instanceID := map[string]*strings.Builder{}, ""
	for _, line := range strings.Split(out.String(), "\n") {
		if rest, ok := strings.CutPrefix(line, "FOR\t"); ok {
			instanceID = rest
			if got[instanceID] == nil {
				got[instanceID] = &strings.Builder{}
			}
		} else if line != "DONE" && line != "" {
			got[instanceID].WriteString(line + "\n")
		}
	}
	byInstance := map[string]string{}
	for i, b := range got {
		byInstance[i] = b.String()
	}
	return byInstance
}

// Guards against state shared between instances: each takes the same actions alone in a process and with others.
func TestOneProcessOrThree(t *testing.T) {
	together := actions(t, script(0, 1, 2))
	if !strings.Contains(together["1"], "SUBMIT_TO") || !strings.Contains(together["1"], "TRACK\t1") {
		t.Fatalf("instance 1 sent no request or did not watch discovery: %q", together["1"])
	}
	for i := range 3 {
		who := fmt.Sprint(i)
		if alone := actions(t, script(i)); alone[who] != together[who] {
			t.Errorf("instance %d: other actions in a process of its own than with the others", i)
		}
	}
}

func TestMegabyteBatch(t *testing.T) {
	head, _, _ := strings.Cut(script(0), "JOB_IN")
	head = head[:strings.LastIndex(head, "TURN")]
	var s strings.Builder
	s.WriteString(head + "TURN\t9000\nON\t0\n")
	for i := range 20000 {
		fmt.Fprintf(&s, "JOB_IN\t%d\t0\t10\t900\t4000000\t-\t-\t-\t100\t%016x\tchat\n", i, i)
	}
	s.WriteString("OVER_TO_YOU\n")
	got := actions(t, s.String())["0"]
	if n := strings.Count(got, "SUBMIT_TO") + strings.Count(got, "BUSY"); n != 20000 {
		t.Fatalf("%d requests answered or sent, want 20000", n)
	}
}

func TestInvalidInputErrors(t *testing.T) {
	good, _, _ := strings.Cut(script(0), "JOB_IN")
	good = good[:strings.LastIndex(good, "TURN")]
	for in, want := range map[string]string{
		good + "TURN\t9000\nON\t4\nTIMER\t1\n":            "instance 4 was never born",
		good + "TURN\t9000\nON\t0\nKILL\nTIMER\t1\n":      "instance 0 was never born or is dead",
		"TURN\t1\nON\t0\nBORN\t1\t{\"nInstances\":1}\n":   "line 3: BORN: balancer: no request classes",
		"TURN\t1\nON\t0\nTIMER\tx\n":                      "line 3: TIMER: field 1 (ref)",
		"TURN\t1\nON\t0\nBORN\t1\t{\"nInstances\":\"x\"}": "cut off",
	} {
		err := run(strings.NewReader(in), &bytes.Buffer{}, "", false)
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got %v, want %q", err, want)
		}
	}
}

// With -capture the replies stay the same, each instance is recorded, and a replay makes the same decisions.
func TestCapture(t *testing.T) {
	in := []byte(script(0, 1, 2))
	dir := t.TempDir()
	var plain, recorded bytes.Buffer
	if err := run(bytes.NewReader(in), &plain, "", false); err != nil {
		t.Fatal(err)
	}
	if err := run(bytes.NewReader(in), &recorded, dir, false); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(plain.Bytes(), recorded.Bytes()) {
		t.Error("recording changes the replies")
	}
	folders, _ := filepath.Glob(filepath.Join(dir, "*"))
	runs, err := capture.FindRuns(folders...)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range runs {
		res, err := replay.Replay(r, replay.Options{})
		if err != nil || res.Differing != 0 || res.Gaps != 0 || res.Events == 0 {
			t.Errorf("replay: result %v, error %v; want events, and no gaps or differences", res, err)
		}
	}
	if len(runs) != 3 {
		t.Errorf("%d recorded runs, want 3", len(runs))
	}
}
