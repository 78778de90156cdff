package emulate

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"archknot/balancer"
	"archknot/internal/fleet/model"
	"archknot/internal/fleet/replica"
	"archknot/internal/httpwire"
)

const (
	// listenTimeout limits the wait for a port that is in use, for example by a short-lived outgoing
	// connection of another process.
	listenTimeout = 2 * time.Second
	// listenRetryInterval is the interval between attempts to listen on a port that is in use.
	listenRetryInterval = 5 * time.Millisecond
	// idleWait is the timer interval of a replica without a step in progress; a new job wakes it earlier.
	idleWait = time.Hour
	// firstFaultyToken is the number of the first token at which an answer is reset or malformed.
	firstFaultyToken = 3
	// maxOutputTokens is the longest answer that a client can select by outputTokensHeader.
	maxOutputTokens = 1 << 20
)

// Headers of the emulator and of replicas.
const (
	outputTokensHeader = "X-Emulate-Out" // length of the answer in tokens, which the client selects
	declinedHeader     = "Srv-Declined"
	loadHeader         = "Srv-Load"
	requestIDHeader    = "Req-Id"
)

// Replica is an HTTP server in front of a simulated replica.
type Replica struct {
	Name, Addr string
	group      *model.Group
	fleet      *Fleet
	index      int // in the fleet and on the endpoint list

	mu             sync.Mutex
	simulator      *replica.Simulator // nil: the process is stopped
	jobs           map[uint64]*job
	lastJobID      uint64
	unresponsive   bool
	malformed      bool // answers contain malformed events
	resetMidAnswer bool // connections are reset during an answer
	draining       bool
	drainMode      DrainMode
	stopStepLoop   func() // ends the goroutine that runs runSteps
	server         *http.Server
	wake           chan struct{} // notified when a job was added
}

// job is a request that the replica processes.
type job struct {
	id     uint64
	events chan replica.Event // has capacity for all events, so that a slow client does not delay the steps
	// Faults to inject into the answer.
	malformed, resetMidAnswer bool
}

// DrainMode is how a draining replica handles new requests.
type DrainMode uint8

// The modes of a drain, and their number.
const (
	DrainAccepts   DrainMode = iota // accepts requests, and passes health checks
	DrainDeclines                   // declines requests, and fails health checks
	DrainHangs                      // accepts requests without answering them, and passes health checks
	DrainModeCount int       = iota
)

// SetDrainMode sets how the replica handles new requests while it drains. It may be called during a drain.
func (r *Replica) SetDrainMode(mode DrainMode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drainMode = mode
}

func (r *Replica) setDraining(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = on
}

// activeDrainMode returns how the replica handles new requests now: DrainAccepts unless it drains.
func (r *Replica) activeDrainMode() DrainMode {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.draining {
		return DrainAccepts
	}
	return r.drainMode
}

// listEntry returns the replica's entry on the endpoint list.
func (r *Replica) listEntry(lifecycle string, startedAtMs int64) httpwire.Endpoint {
	return httpwire.Endpoint{
		ID:          r.Name,
		Addr:        r.Addr,
		Zone:        r.group.Zone,
		Kind:        r.group.Name,
		Lifecycle:   lifecycle,
		Weight:      r.group.Weight,
		StartedAtMs: startedAtMs,
	}
}

// start starts the process, at its previous address if it had one. Jobs run from readyAt on.
func (r *Replica) start(readyAt balancer.Micros) error {
	l, err := r.listen()
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Addr = l.Addr().String()
	r.simulator = replica.New(r.group.Params, readyAt)
	r.simulator.EmitTokens = true
	r.draining = false
	r.jobs = map[uint64]*job{}
	r.wake = make(chan struct{}, 1)
	done := make(chan struct{})
	r.stopStepLoop = sync.OnceFunc(func() { close(done) })
	r.server = &http.Server{Handler: r, ReadHeaderTimeout: readHeaderTimeout}
	go serveHTTP(r.server, l)
	go r.runSteps(done, r.wake)
	return nil
}

func (r *Replica) listen() (l net.Listener, err error) {
	for deadline := time.Now().Add(listenTimeout); ; time.Sleep(listenRetryInterval) {
		if l, err = listenLoopback(r.Addr); err == nil || time.Now().After(deadline) {
			return l, err
		}
	}
}

// stop ends the process and closes its connections.
func (r *Replica) stop() {
	r.mu.Lock()
	server, stopStepLoop := r.server, r.stopStepLoop
	r.simulator = nil
	r.mu.Unlock()
	if server != nil {
		stopStepLoop()
		server.Close()
	}
}

func (r *Replica) isStopped() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.simulator == nil
}

func (r *Replica) isUnresponsive() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.unresponsive
}

func (r *Replica) setUnresponsive(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unresponsive = on
}

// runSteps advances the simulator in real time until done is closed.
func (r *Replica) runSteps(done, wake <-chan struct{}) {
	timer := time.NewTimer(idleWait)
	defer timer.Stop()
	for {
		timer.Reset(r.advance())
		select {
		case <-timer.C:
		case <-wake:
		case <-done:
			return
		}
	}
}

// advance completes all steps that end by now and returns the time to the end of the next one. It passes the
// simulator the scheduled end of each step instead of the current time, so that late scheduling of the goroutine
// does not slow the replica down.
func (r *Replica) advance() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.simulator != nil {
		stepEnd := r.simulator.StepEnd()
		if stepEnd == 0 {
			break
		}
		if now := r.fleet.now(); stepEnd > now {
			return time.Duration(stepEnd-now) * time.Microsecond
		}
		for _, event := range r.simulator.Advance(stepEnd) {
			if j := r.jobs[event.Job]; j != nil {
				j.events <- event
			}
		}
	}
	return idleWait
}

// loadReport returns the load report in the platform's format. The caller must hold r.mu.
func (r *Replica) loadReport() string {
	if r.simulator == nil {
		return ""
	}
	running, waiting, memory, uncomputed := r.simulator.Load()
	return fmt.Sprintf("busy_reqs=%d,pending=%d,x0=%.4f,x1=%.3f", running+waiting, waiting, memory, float64(uncomputed)/1000)
}

func (r *Replica) currentLoadReport() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.loadReport()
}

// ServeHTTP serves the platform's protocol: completions, health checks and load reports.
func (r *Replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	r.mu.Lock()
	unresponsive, load := r.unresponsive, r.loadReport()
	r.mu.Unlock()
	if unresponsive {
		r.serveUnresponsive(w, req)
		return
	}
	drainMode, isCompletion := r.activeDrainMode(), req.URL.Path == httpwire.CompletionsPath
	switch {
	case drainMode == DrainHangs && isCompletion:
		r.serveUnresponsive(w, req)
		return
	case drainMode == DrainDeclines:
		r.decline(w, req, isCompletion)
		return
	}
	switch req.URL.Path {
	case httpwire.LivePath:
	case httpwire.StatsPath:
		_, _ = io.WriteString(w, load) // fails only if the client has disconnected
	case httpwire.CompletionsPath:
		r.serveCompletion(w, req)
	default:
		http.NotFound(w, req)
	}
}

// decline answers requests and health checks of a replica with DrainDeclines.
func (r *Replica) decline(w http.ResponseWriter, req *http.Request, isCompletion bool) {
	if isCompletion && r.fleet.OnAttemptEnd != nil {
		attempt := r.declinedAttempt(req)
		attempt.EndedAt = attempt.ReceivedAt
		r.fleet.OnAttemptEnd(attempt)
	}
	w.Header().Set(declinedHeader, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// declinedAttempt returns the record of an attempt that is received now and not processed.
func (r *Replica) declinedAttempt(req *http.Request) ReplicaAttempt {
	id := req.Header.Get(requestIDHeader)
	return ReplicaAttempt{ID: id, RootID: rootID(req.Header, id), Replica: r.Name, ReceivedAt: time.Now(), Declined: true}
}

// serveUnresponsive emulates a half-open connection: it reads the request and sends no answer.
func (r *Replica) serveUnresponsive(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path == httpwire.CompletionsPath && r.fleet.OnAttemptEnd != nil {
		attempt := r.declinedAttempt(req)
		defer func() {
			attempt.EndedAt = time.Now()
			r.fleet.OnAttemptEnd(attempt)
		}()
		// The server detects the end of the connection only after the body was read.
		_, _ = io.Copy(io.Discard, http.MaxBytesReader(w, req.Body, httpwire.MaxBodyBytes))
	}
	waitForDisconnect(req)
}

// rootID returns the ID of the request's first attempt: id, unless the request resumes an earlier answer.
func rootID(h http.Header, id string) string {
	if resume, resumes, err := httpwire.ParseResume(h); resumes && err == nil {
		return resume.ID
	}
	return id
}

func (r *Replica) serveCompletion(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, httpwire.MaxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	parsed, err := httpwire.ParseRequest(req.Header)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	parsed.EstimatePrompt(len(body))
	attempt := ReplicaAttempt{
		ID:                 parsed.ID,
		RootID:             rootID(req.Header, parsed.ID),
		Replica:            r.Name,
		Class:              parsed.Request.Class,
		ReceivedAt:         time.Now(),
		FirstTokenDeadline: time.Now().Add(time.Duration(parsed.Timeout) * time.Microsecond),
	}
	defer func() {
		attempt.EndedAt = time.Now()
		if r.fleet.OnAttemptEnd != nil {
			r.fleet.OnAttemptEnd(attempt)
		}
	}()
	j, load, stopped := r.submit(&parsed.Request, outputTokens(req.Header, parsed.Request.MaxTokens))
	if stopped {
		return
	}
	if j == nil {
		attempt.Declined = true
		w.Header().Set(declinedHeader, "1")
		w.Header().Set(loadHeader, load)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer r.cancelJob(j)
	attempt.Complete = r.streamTokens(w, req, j, parsed.Request.PromptTokens)
}

// outputTokens returns the length of the answer that the client selected, or a quarter of maxTokens without a
// valid selection.
func outputTokens(h http.Header, maxTokens int) int {
	n, err := strconv.Atoi(h.Get(outputTokensHeader))
	if err != nil || n < 1 || n > maxOutputTokens {
		return max(1, maxTokens/4)
	}
	return n
}

// submit passes a request to the simulator. If the request is declined, the job is nil and load is the load
// report.
func (r *Replica) submit(request *balancer.Request, outputTokens int) (j *job, load string, stopped bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.simulator == nil {
		return nil, "", true
	}
	r.lastJobID++
	j = &job{
		id:             r.lastJobID,
		events:         make(chan replica.Event, outputTokens+3), // also FirstToken and Completed
		malformed:      r.malformed,
		resetMidAnswer: r.resetMidAnswer,
	}
	accepted := r.simulator.Submit(r.fleet.now(), replica.Job{
		ID:           j.id,
		PromptTokens: max(1, request.PromptTokens),
		OutputTokens: outputTokens,
		Prefix:       request.Prefix,
		PrefixTokens: min(request.PrefixTokens, request.PromptTokens),
		Session:      request.Session,
	})
	if !accepted {
		return nil, r.loadReport(), false
	}
	r.jobs[j.id] = j
	select {
	case r.wake <- struct{}{}:
	default:
	}
	return j, "", false
}

// cancelJob cancels a job unless the process that ran it was stopped.
func (r *Replica) cancelJob(j *job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.jobs[j.id] != j {
		return
	}
	delete(r.jobs, j.id)
	if r.simulator != nil {
		r.simulator.Cancel(j.id)
	}
}

// streamTokens writes a job's tokens as they are generated. It returns true if the whole answer was written.
func (r *Replica) streamTokens(w http.ResponseWriter, req *http.Request, j *job, promptTokens int) (complete bool) {
	control := http.NewResponseController(w)
	started, cachedTokens := false, 0
	for {
		var event replica.Event
		select {
		case event = <-j.events:
		case <-req.Context().Done():
			return false
		}
		if r.isUnresponsive() { // answers in progress stop as well
			<-req.Context().Done()
			return false
		}
		if !started {
			started = true
			w.Header().Set("Content-Type", "text/event-stream")
		}
		switch event.Kind {
		case replica.FirstToken:
			cachedTokens = event.CachedTokens
		case replica.TokenGenerated:
			faulty := event.OutputTokens >= firstFaultyToken
			if j.resetMidAnswer && faulty {
				ResetConnection(w)
				return false
			}
			writeToken(w, event.OutputTokens, j.malformed && faulty)
			if control.Flush() != nil {
				return false
			}
		case replica.Completed:
			writeUsage(w, promptTokens, event.OutputTokens, cachedTokens, r.currentLoadReport())
			return true
		}
	}
}

// ResetConnection closes the connection of a response with a TCP reset. It does nothing if the connection
// cannot be hijacked, as with HTTP/2.
func ResetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // on an error the connection is closed without a reset
	}
	conn.Close()
}
