// Package standin has what the review's cases share: a record, a stand-in fleet (discovery and replicas), clients, and
// the gateway as a process of its own. Everything listens on loopback addresses.
package standin

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// caseTimeout is the longest time that a case may take.
const caseTimeout = 110 * time.Second

// Case is one run of a case: its record, its temporary directory and the processes that it has started.
type Case struct {
	Root    string // of the repository
	Temp    string // a temporary directory that Finish removes
	Trouble bool   // TROUBLE is not 0: the disruption takes place

	mu        sync.Mutex
	record    *os.File
	begun     time.Time
	processes []*Process
}

// New begins a case whose folder is review/NAME of the repository in the present directory.
func New(name string) *Case {
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	c := &Case{Root: root, Trouble: os.Getenv("TROUBLE") != "0", begun: time.Now()}
	if c.record, err = os.Create(filepath.Join(root, "review", name, "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	if c.Temp, err = os.MkdirTemp("", "review-"); err != nil {
		c.Abort("temporary directory: %v", err)
	}
	time.AfterFunc(caseTimeout, func() { c.Abort("not finished after %v", caseTimeout) })
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() { c.Abort("stopped by signal %v", <-stop) }()
	c.Logf("case %s, trouble %t", name, c.Trouble)
	return c
}

// Logf writes a line to the record, with the seconds since the case began.
func (c *Case) Logf(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.record, "%8.3f %s\n", time.Since(c.begun).Seconds(), fmt.Sprintf(format, args...))
}

// Abort ends a case that could not run.
func (c *Case) Abort(format string, args ...any) {
	c.Logf("could not run: "+format, args...)
	c.end(NotRun)
}

// Finish ends a case: with no violation the rule held.
func (c *Case) Finish(violations []string) {
	for _, v := range violations {
		c.Logf("RULE BROKEN: %s", v)
		fmt.Println("rule broken:", v)
	}
	if len(violations) > 0 {
		c.end(Broken)
	}
	c.Logf("the rule held")
	fmt.Println("the rule held")
	c.end(Held)
}

func (c *Case) end(code int) {
	c.mu.Lock()
	processes := c.processes
	c.mu.Unlock()
	for _, p := range processes {
		p.Kill()
	}
	os.RemoveAll(c.Temp)
	c.record.Close()
	os.Exit(code)
}

// FreeAddr returns a loopback address with a port that is free at the moment.
func (c *Case) FreeAddr() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.Abort("free port: %v", err)
	}
	defer l.Close()
	return l.Addr().String()
}

// WriteFile writes a file in the temporary directory, replacing it at once, and returns its path.
func (c *Case) WriteFile(name, text string) string {
	path := filepath.Join(c.Temp, name)
	err := os.WriteFile(path+".new", []byte(text), 0o600)
	if err == nil {
		err = os.Rename(path+".new", path)
	}
	if err != nil {
		c.Abort("%v", err)
	}
	return path
}

// runLine matches the line of the deploy file that starts a gateway.
var runLine = regexp.MustCompile(`(?m)^run = "(.*)"`)

// Process is a gateway process.
type Process struct {
	Name string

	c      *Case
	cmd    *exec.Cmd
	ended  chan struct{}
	status string // how it ended; set before ended is closed
}

// Start starts a gateway by the run line of the deploy file, in the repository's root. env is added to the
// environment, and files are inherited as descriptors 3 and following.
func (c *Case) Start(name string, env []string, files ...*os.File) *Process {
	deploy, err := os.ReadFile(filepath.Join(c.Root, "deploy", "balancer.toml"))
	if err != nil {
		c.Abort("%v", err)
	}
	match := runLine.FindSubmatch(deploy)
	if match == nil {
		c.Abort("no run line in the deploy file")
	}
	p := &Process{Name: name, c: c, ended: make(chan struct{})}
	p.cmd = exec.Command("/bin/sh", "-c", string(match[1]))
	p.cmd.Dir, p.cmd.ExtraFiles = c.Root, files
	p.cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "TMPDIR=" + c.Temp}, env...)
	out, in, err := os.Pipe()
	if err != nil {
		c.Abort("%v", err)
	}
	p.cmd.Stdout, p.cmd.Stderr = in, in
	if err := p.cmd.Start(); err != nil {
		c.Abort("start %s: %v", name, err)
	}
	in.Close()
	c.Logf("%s: started %q, pid %d", name, match[1], p.cmd.Process.Pid)
	c.mu.Lock()
	c.processes = append(c.processes, p)
	c.mu.Unlock()
	go p.follow(out)
	return p
}

// follow records the log of a process and how it ends.
func (p *Process) follow(out *os.File) {
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		p.c.Logf("%s log: %s", p.Name, lines.Text())
	}
	_ = p.cmd.Wait() // the state says how it ended
	p.status = p.cmd.ProcessState.String()
	p.c.Logf("%s: ended, %s", p.Name, p.status)
	close(p.ended)
}

// Signal sends a signal to the process.
func (p *Process) Signal(sig syscall.Signal) {
	p.c.Logf("%s: signal %v", p.Name, sig)
	if err := p.cmd.Process.Signal(sig); err != nil {
		p.c.Logf("%s: signal: %v", p.Name, err)
	}
}

// Ended returns how the process has ended, or waits for the end for the given time at most.
func (p *Process) Ended(wait time.Duration) (status string, ended bool) {
	select {
	case <-p.ended:
		return p.status, true
	case <-time.After(wait):
		return "", false
	}
}

// Kill ends the process and waits for its end.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill() // it may have ended
	<-p.ended
}

// AwaitReady waits until the gateway at an address says that it is ready.
func (c *Case) AwaitReady(p *Process, addr string) {
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if status, ended := p.Ended(0); ended {
			c.Abort("%s ended at its start: %s", p.Name, status)
		}
		if c.status(http.MethodGet, "http://"+addr+"/health/ready") == http.StatusOK {
			c.Logf("%s: ready", p.Name)
			return
		}
	}
	c.Abort("%s is not ready after 30 s", p.Name)
}

// status returns the status of a call without a body, or 0 if it failed.
func (c *Case) status(method, url string) int {
	request, err := http.NewRequest(method, url, nil)
	if err != nil {
		c.Abort("%v", err)
	}
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body) // only the status matters
	return response.StatusCode
}

// Call makes an operators' call and records it. It returns the status, or 0 if the call failed.
func (c *Case) Call(method, url string) int {
	status := c.status(method, url)
	c.Logf("operator: %s %s: %d", method, url, status)
	return status
}

// Request is a client's request.
type Request struct {
	ID, Class, Tenant string
	Deadline          time.Duration
	Extra             string            // Req-Extra
	Headers           map[string]string // further headers
}

// Answer is what a client got.
type Answer struct {
	Status int    // 0: no head of an answer
	Body   string // as far as it came
	Err    error  // nil: the answer is complete
	Took   time.Duration
}

// Whole reports whether the answer is a stream that was relayed to its end.
func (a Answer) Whole() bool {
	return a.Status == http.StatusOK && a.Err == nil && strings.Contains(a.Body, "data: [DONE]")
}

// String describes the answer in one line.
func (a Answer) String() string {
	return fmt.Sprintf("status %d, %d bytes, error %v, after %.3f s", a.Status, len(a.Body), a.Err, a.Took.Seconds())
}

// Send sends a request on a connection of its own, reads the answer to its end and records both.
func (c *Case) Send(addr string, r Request) Answer {
	c.Logf("client: %s class %s tenant %s deadline %v to %s", r.ID, r.Class, r.Tenant, r.Deadline, addr)
	begun := time.Now()
	answer := c.send(addr, r)
	answer.Took = time.Since(begun)
	c.Logf("client: %s answered: %v", r.ID, answer)
	if answer.Status != http.StatusOK && answer.Body != "" {
		c.Logf("client: %s body: %s", r.ID, strings.TrimSpace(answer.Body))
	}
	return answer
}

func (c *Case) send(addr string, r Request) (answer Answer) {
	body := `{"model":"chat","stream":true,"messages":[{"role":"user","content":"` + r.ID + `"}]}`
	request, err := http.NewRequest(http.MethodPost, "http://"+addr+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		c.Abort("%v", err)
	}
	request.Header.Set("Req-Id", r.ID)
	request.Header.Set("Req-Kind", r.Class)
	request.Header.Set("Req-Owner", r.Tenant)
	request.Header.Set("Req-Deadline", fmt.Sprintf("%dm", r.Deadline.Milliseconds()))
	if r.Extra != "" {
		request.Header.Set("Req-Extra", r.Extra)
	}
	for name, value := range r.Headers {
		request.Header.Set(name, value)
	}
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(request)
	if err != nil {
		return Answer{Err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return Answer{Status: response.StatusCode, Body: string(text), Err: err}
}
