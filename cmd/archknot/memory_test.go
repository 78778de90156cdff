package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// maxHeadBytes is the size of the largest request head that the gateway reads.
	maxHeadBytes = 16 << 10
	// memoryTestDuration is how long clients send heads.
	memoryTestDuration = 3 * time.Second
	// memoryConfigFormat is the configuration of a gateway with given limits.
	memoryConfigFormat = `{"name":"g","listen":"%s","discovery":"%s","admin":"%s","limits":{"cores":1,"memory_mb":%d,"sockets":%d},
 "settings":{"nInstances":1,"selfIndex":0,"zone":"a","zones":["a"],"limits":{"maxAttempts":3,"connIdleUs":60000000,"connectTimeoutUs":500000,"mostHeld":2000},
  "rules":{"askWithinUs":10000000,"startCapacity":0.5},"requestClasses":[{"name":"chat","targetUs":1000000,"deadlineUs":3000000,"effect":"repeatable","streamed":true}]}}`
)

// buildProgram builds the gateway as the deploy file does, without the tests' own code and memory.
func buildProgram(t *testing.T) (path string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "archknot")
	build := exec.Command("go", "build", "-tags", "grpcnotrace", "-ldflags=-linkmode=external", "-o", path, ".")
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, output)
	}
	return path
}

// headOf returns the start of a request whose body doesn't end, with a head of just under maxHeadBytes that is filled
// by field.
func headOf(complete bool, field func(i int) string) string {
	var head strings.Builder
	head.WriteString("POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nReq-Kind: chat\r\nReq-Id: m\r\nContent-Length: 200000\r\n")
	for i := 0; ; i++ {
		next := field(i) + "\r\n"
		if head.Len()+len(next)+len("\r\n{") > maxHeadBytes {
			break
		}
		head.WriteString(next)
	}
	if complete {
		head.WriteString("\r\n{")
	}
	return head.String()
}

// peakMemory returns the largest resident size of a process so far, in KiB.
func (p *gatewayProcess) peakMemory(t *testing.T) (kib int) {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	_, peak, found := strings.Cut(string(status), "VmHWM:")
	if _, err := fmt.Sscanf(peak, "%d kB", &kib); !found || err != nil {
		t.Fatalf("no VmHWM: %v", err)
	}
	return kib
}

// sendHeads keeps connections open on which the head was sent, for memoryTestDuration. A connection that the gateway closes is
// opened again.
func sendHeads(addr, head string, connections int) {
	end := time.Now().Add(memoryTestDuration)
	var clients sync.WaitGroup
	for range connections {
		clients.Go(func() {
			for time.Now().Before(end) {
				c, err := net.Dial("tcp", addr)
				if err != nil {
					time.Sleep(10 * time.Millisecond)
					continue
				}
				_ = c.SetDeadline(end)
				_, _ = c.Write([]byte(head))
				_, _ = c.Read(make([]byte, 512)) // until it is answered or closed
				c.Close()
			}
		})
	}
	clients.Wait()
}

// headFlood is a number of clients that send the same head to a gateway with given limits.
type headFlood struct {
	memoryMB, sockets, connections int
	head                           string
}

func shortField(i int) string { return fmt.Sprintf("a%x:", i) }
func longField(i int) string  { return fmt.Sprintf("a%x: %s", i, strings.Repeat("x", 160)) }
func onlyField(int) string    { return strings.Repeat("a", 16000) + ":" }

// Guards against a process that passes its memory limit, and is killed, because of clients that send large heads (issue 74, record
// 1): a head of many short fields took sixteen times its bytes, and no limit counted that.
func TestLargeHeadsStayWithinTheMemoryLimit(t *testing.T) {
	halfBody := strings.Repeat("x", 100_000)
	expectMemoryWithinLimits(t, map[string]headFlood{
		"short fields":                    {64, 1024, 430, headOf(true, shortField)},
		"short fields of an endless head": {64, 1024, 430, headOf(false, shortField)},
		"long fields":                     {64, 1024, 430, headOf(true, longField)},
		"long fields and half a body":     {64, 1024, 430, headOf(true, longField) + halfBody},
		"one field":                       {64, 1024, 430, headOf(false, onlyField)},
		"short fields, more memory":       {192, 1024, 430, headOf(true, shortField)},
	})
}

// Guards against the same with the least memory that the operators' pages name, of which the pages of the program's own file take
// a part that depends on the kernel (issue 74, record 1).
func TestLargeHeadsStayWithinTheLeastMemory(t *testing.T) {
	expectMemoryWithinLimits(t, map[string]headFlood{
		"short fields":               {32, 256, 110, headOf(true, shortField)},
		"one field":                  {32, 256, 110, headOf(false, onlyField)},
		"short fields, more sockets": {32, 1024, 430, headOf(true, shortField)},
		"one field, more sockets":    {32, 1024, 430, headOf(false, onlyField)},
	})
}

// expectMemoryWithinLimits expects a gateway to stay within its memory limit and to serve after each flood.
func expectMemoryWithinLimits(t *testing.T, floods map[string]headFlood) {
	t.Helper()
	program := buildProgram(t)
	for name, flood := range floods {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, 1)
			d.program = program
			d.platformConfig = func(adminAddr string) string {
				return fmt.Sprintf(memoryConfigFormat, d.addr, d.discovery.addr, adminAddr, flood.memoryMB, flood.sockets)
			}
			p := d.start()
			d.waitUntilReady(p)
			before := p.peakMemory(t)
			sendHeads(d.addr, flood.head, flood.connections)
			peak := p.peakMemory(t)
			t.Logf("peak %d KiB, %d KiB before, limit %d MiB", peak, before, flood.memoryMB)
			if peak > flood.memoryMB<<10 {
				t.Errorf("peak %d KiB, want %d at most", peak, flood.memoryMB<<10)
			}
			waitUntil(t, "the front's check succeeds", func() bool { return p.readyStatus() == http.StatusOK })
			client := p.dial(t)
			client.send(requestText("after", "-"))
			client.expectServed("after the heads")
		})
	}
}
