// Package rig starts the project's gateways as separate processes for the cases of the second review, with
// stand-ins for the platform, discovery, the replicas and the clients. All addresses are loopback addresses.
package rig

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The results of a case, as exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// Rig is one run of a case.
type Rig struct {
	Trouble bool // false: the run without the disruption
	Temp    string
	begun   time.Time
	runLine string

	mu       sync.Mutex
	record   *bufio.Writer
	file     *os.File
	gateways []*Gateway
	broken   int
	ended    bool
}

// Main runs a case whose record goes to the file that the first argument names. It must be called from the
// repository's root. It does not return.
func Main(run func(*Rig) error) {
	r, err := newRig()
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(exitNotRun)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		r.end(fmt.Errorf("stopped by signal %v", <-signals))
	}()
	r.end(run(r))
}

func newRig() (*Rig, error) {
	if len(os.Args) != 2 {
		return nil, errors.New("expected the record's path as the only argument")
	}
	line, err := deployLine("run")
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(os.Args[1])
	if err != nil {
		return nil, err
	}
	r := &Rig{Trouble: os.Getenv("TROUBLE") != "0", Temp: temp, begun: time.Now(), runLine: line, file: file, record: bufio.NewWriter(file)}
	r.Logf("case begins, trouble=%v", r.Trouble)
	return r, nil
}

// deployLine returns a command of the deploy file.
func deployLine(key string) (string, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, key+` = "`); ok {
			return value[:strings.LastIndexByte(value, '"')], nil
		}
	}
	return "", fmt.Errorf("the deploy file has no %q", key)
}

// Logf writes a line to the record.
func (r *Rig) Logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.logLocked(format, args...)
}

func (r *Rig) logLocked(format string, args ...any) {
	text := strings.ReplaceAll(fmt.Sprintf(format, args...), r.Temp, "TEMP")
	fmt.Fprintf(r.record, "%9.3f  %s\n", time.Since(r.begun).Seconds(), text)
}

// Broken records that the rule was broken.
func (r *Rig) Broken(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken++
	r.logLocked("RULE BROKEN: "+format, args...)
}

// end ends all processes and the case.
func (r *Rig) end(err error) {
	r.mu.Lock()
	if r.ended {
		r.mu.Unlock()
		select {} // another goroutine ends the process
	}
	r.ended = true
	gateways := r.gateways
	r.mu.Unlock()
	for _, g := range gateways {
		g.Kill()
	}
	code, word := exitHeld, "the rule held"
	switch {
	case err != nil:
		code, word = exitNotRun, "the case could not run: "+err.Error()
	case r.broken > 0:
		code, word = exitBroken, fmt.Sprintf("the rule was broken %d times", r.broken)
	}
	r.Logf("case ends: %s", word)
	if err != nil {
		r.keepLogs(gateways)
	}
	r.mu.Lock()
	r.record.Flush()
	r.file.Close()
	r.mu.Unlock()
	os.RemoveAll(r.Temp)
	fmt.Println(word)
	os.Exit(code)
}

// keepLogs writes the last lines of the gateways' logs to the record.
func (r *Rig) keepLogs(gateways []*Gateway) {
	for _, g := range gateways {
		for _, line := range g.LastLines(5) {
			r.Logf("log of %s: %s", g.Label, line)
		}
	}
}

// FreePort returns a loopback address whose port is free for TCP and UDP.
func FreePort() (string, error) {
	for range 50 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		addr := l.Addr().String()
		udp, err := net.ListenPacket("udp", addr)
		l.Close()
		if err == nil {
			udp.Close()
			return addr, nil
		}
	}
	return "", errors.New("no free port")
}

// GatewayOptions are the parameters of a gateway.
type GatewayOptions struct {
	Name      string
	Listen    string // "": a free address
	Discovery string
	Admin     string         // NODE_ADMIN; "": none
	Settings  map[string]any // replaces keys of the example's settings, one level deep
	Conf      string         // the text of the program's own settings; "": none
	Socket    *os.File       // the platform's listening socket, passed on as descriptor 5; nil: none
	Label     string         // for the record; "": the name
}

// Gateway is one process of a gateway.
type Gateway struct {
	GatewayOptions
	Process *exec.Cmd
	rig     *Rig
	logPath string
	exited  chan struct{}
	err     error
}

// Start starts a gateway with the deploy file's command `run`.
func (r *Rig) Start(o GatewayOptions) (*Gateway, error) {
	if o.Label == "" {
		o.Label = o.Name
	}
	if o.Listen == "" {
		var err error
		if o.Listen, err = FreePort(); err != nil {
			return nil, err
		}
	}
	r.mu.Lock()
	number := len(r.gateways)
	r.mu.Unlock()
	g := &Gateway{GatewayOptions: o, rig: r, exited: make(chan struct{}), logPath: filepath.Join(r.Temp, fmt.Sprintf("%d.log", number))}
	environment, err := r.writeFiles(&o)
	if err != nil {
		return nil, err
	}
	log, err := os.Create(g.logPath)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	g.Process = exec.Command("/bin/sh", "-c", r.runLine)
	g.Process.Env = append(os.Environ(), environment...)
	g.Process.Stdout, g.Process.Stderr = log, log
	if o.Socket != nil {
		g.Process.ExtraFiles = []*os.File{nil, nil, o.Socket} // descriptor 5
		g.Process.Env = append(g.Process.Env, "NODE_SOCKET_FD=5")
	}
	if err := g.Process.Start(); err != nil {
		return nil, err
	}
	r.Logf("start %s: %s, clients at %s", o.Label, r.runLine, o.Listen)
	r.mu.Lock()
	r.gateways = append(r.gateways, g)
	r.mu.Unlock()
	go func() {
		g.err = g.Process.Wait()
		r.Logf("%s has ended: %v", o.Label, g.Process.ProcessState)
		close(g.exited)
	}()
	return g, nil
}

// writeFiles writes the platform's and the program's configuration, and returns the environment.
func (r *Rig) writeFiles(o *GatewayOptions) ([]string, error) {
	var platform map[string]any
	text, err := os.ReadFile("example/config.json")
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(text, &platform); err != nil {
		return nil, err
	}
	platform["name"], platform["listen"], platform["discovery"] = o.Name, o.Listen, o.Discovery
	settings, ok := platform["settings"].(map[string]any)
	if !ok {
		return nil, errors.New("the example has no settings")
	}
	merge(settings, o.Settings)
	if text, err = json.MarshalIndent(platform, "", " "); err != nil {
		return nil, err
	}
	path := filepath.Join(r.Temp, o.Name+".json")
	if err := replaceFile(path, text); err != nil {
		return nil, err
	}
	environment := []string{"NODE_CONFIG=" + path, "TMPDIR=" + r.Temp}
	if o.Admin != "" {
		environment = append(environment, "NODE_ADMIN="+o.Admin)
	}
	if o.Conf != "" {
		environment = append(environment, "ARCHKNOT_CONF="+r.ConfPath(o.Name))
		err = r.WriteConf(o.Name, o.Conf)
	}
	return environment, err
}

// Reconfigure replaces the platform's configuration of a gateway.
func (r *Rig) Reconfigure(g *Gateway) error {
	r.Logf("new configuration of %s: discovery at %s", g.Label, g.Discovery)
	_, err := r.writeFiles(&g.GatewayOptions)
	return err
}

// merge replaces keys; an object replaces only the keys that it has.
func merge(into, changes map[string]any) {
	for key, value := range changes {
		before, isObject := into[key].(map[string]any)
		after, replaces := value.(map[string]any)
		if isObject && replaces {
			merge(before, after)
			continue
		}
		into[key] = value
	}
}

// ConfPath returns the path of the program's own settings of a gateway.
func (r *Rig) ConfPath(name string) string { return filepath.Join(r.Temp, name+".conf") }

// WriteConf replaces the program's own settings of a gateway.
func (r *Rig) WriteConf(name, text string) error {
	return replaceFile(r.ConfPath(name), []byte(text))
}

// replaceFile replaces a file as a whole.
func replaceFile(path string, text []byte) error {
	if err := os.WriteFile(path+".next", text, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".next", path)
}

// Signal sends a signal to the gateway's process.
func (g *Gateway) Signal(s syscall.Signal) {
	g.rig.Logf("%s gets signal %v", g.Label, s)
	_ = g.Process.Process.Signal(s) // an ended process needs none
}

// Kill ends the gateway's process, if it runs, and waits for its end.
func (g *Gateway) Kill() {
	_ = g.Process.Process.Kill() // an ended process needs none
	<-g.exited
}

// Ended reports whether the process ends within a time.
func (g *Gateway) Ended(within time.Duration) bool {
	select {
	case <-g.exited:
		return true
	case <-time.After(within):
		return false
	}
}

// LastLines returns the last lines of the gateway's log.
func (g *Gateway) LastLines(n int) []string {
	text, _ := os.ReadFile(g.logPath) // without a log there are no lines
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return lines[max(0, len(lines)-n):]
}

// LogHas reports whether the gateway's log has a text.
func (g *Gateway) LogHas(text string) bool {
	log, _ := os.ReadFile(g.logPath) // without a log it has not
	return strings.Contains(string(log), text)
}

// AwaitLog waits until the gateway's log has a text.
func (g *Gateway) AwaitLog(text string, within time.Duration) error {
	return Await(within, g.Label+" logs "+text, func() bool { return g.LogHas(text) })
}

// AwaitReady waits until the gateway's readiness check answers 200.
func (g *Gateway) AwaitReady(within time.Duration) error {
	return Await(within, g.Label+" is ready", func() bool { return StatusOf("http://"+g.Listen+"/health/ready") == http.StatusOK })
}

// AwaitYes waits until the process says yes at its second address.
func (g *Gateway) AwaitYes(within time.Duration) error {
	return Await(within, g.Label+" says yes", func() bool { return StatusOf("http://"+g.Admin+"/-/ready") == http.StatusOK })
}

// Call makes an operators' call, over a connection of its own, and returns the status of the answer.
func (g *Gateway) Call(method, path string) (status int, err error) {
	request, err := http.NewRequest(method, "http://"+g.Admin+path, nil)
	if err != nil {
		return 0, err
	}
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer answer.Body.Close()
	return answer.StatusCode, nil
}

// ListeningSocket returns the platform's listening socket for clients, and its address.
func ListeningSocket() (socket *os.File, addr string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		return nil, "", fmt.Errorf("listener of type %T", listener)
	}
	socket, err = tcp.File()
	return socket, listener.Addr().String(), err
}

// StatusOf returns the status of a GET over a new connection; 0: none.
func StatusOf(url string) int {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Get(url)
	if err != nil {
		return 0
	}
	defer answer.Body.Close()
	_, _ = io.Copy(io.Discard, answer.Body) // only the status counts
	return answer.StatusCode
}

// Await waits until a condition holds.
func Await(within time.Duration, what string, holds func() bool) error {
	for end := time.Now().Add(within); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("not within %v: %s", within, what)
		}
	}
	return nil
}
