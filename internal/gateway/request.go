package gateway

import (
	"cmp"
	"context"
	"net/http"

	"archknot/balancer"
	"archknot/internal/httpwire"
	"archknot/internal/inflight"
)

// requestHandler serves one client request. The goroutine of the client's connection owns it.
type requestHandler struct {
	gateway     *Gateway
	conn        *clientConn
	config      *liveConfig // one version throughout the request
	arrivedAt   balancer.Micros
	request     httpwire.ClientRequest
	hasDeadline bool // the client set its own deadline
	body        []byte
	lease       *requestLease
	inFlight    *inflight.Request
	result      requestResult
}

// serve handles one request, from its head to the last byte of its response.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	conn := g.clients.connOf(r.Context())
	config := g.config.Load()
	h := requestHandler{gateway: g, conn: conn, config: config, arrivedAt: conn.requestArrivedAt()}
	if rejected := h.parseHead(r); rejected != nil {
		g.reject(w, rejected)
		return
	}
	if !h.readBody(w, r) {
		return
	}
	defer g.clients.releaseBytes(int64(len(h.body)))
	if !h.admit(w) {
		return
	}
	defer h.endRequest()
	ctx, rejected := h.acquireLease(r.Context(), r)
	if rejected != nil {
		g.reject(w, rejected)
		return
	}
	defer h.lease.release()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h.initInFlight(ctx, cancel)
	defer h.recordResult(ctx)
	g.loop.events <- requestArrived{h.inFlight, h.config, h.hasDeadline}
	h.runActions(ctx, w, r)
}

// parseHead parses and validates the request's head before the body is read, so that an invalid
// request takes up neither memory nor a replica. A replica would reject it with an error, and
// errors count against the replica.
func (h *requestHandler) parseHead(r *http.Request) *rejection {
	request, err := httpwire.ParseRequest(r.Header)
	h.hasDeadline = request.Timeout > 0
	if err == nil {
		err = h.config.checkClass(&request)
	}
	h.request = request
	if err != nil {
		return badRequest(err.Error())
	}
	return nil
}

// checkClass returns an error for a class that the configuration does not have, and applies the
// class's timeout to a request without its own.
func (c *liveConfig) checkClass(request *httpwire.ClientRequest) error {
	class, err := c.class(request.Request.Class)
	request.Timeout = cmp.Or(request.Timeout, class.Deadline)
	return err
}

// readBody reads the request's body. If it returns false, the client has been answered and
// no body memory is reserved.
func (h *requestHandler) readBody(w http.ResponseWriter, r *http.Request) bool {
	body, rejected := h.gateway.readBody(w, r)
	switch {
	case rejected == bodyMemoryExhausted:
		h.gateway.capacityLog.log("body_memory_exhausted", "bytes", h.gateway.clients.bodyBytes.Load())
		writeAtCapacity(w, h.config)
		return false
	case rejected != nil:
		h.gateway.reject(w, rejected)
		return false
	}
	h.body = body
	return true
}

// admit registers the request as in flight, within the gateway's own limits. If it
// returns false, the client has been answered.
func (h *requestHandler) admit(w http.ResponseWriter) bool {
	g := h.gateway
	if h.conn.hasAmbiguousFraming() { // detected in bytes after the head
		g.reject(w, rejectAmbiguousFraming)
		return false
	}
	h.request.EstimatePrompt(len(h.body))
	if g.clients.shedsNewRequests() {
		shedDraining(w, &h.request, h.config)
		return false
	}
	admission := requestOverLimit
	if !h.conn.overLimit {
		admission = g.clients.beginRequest(h.request.ID, h.config.maxInFlight)
	}
	switch admission {
	case requestAdmitted:
		return h.admitBesideSiblings(w)
	case requestDuplicate:
		g.reject(w, rejectDuplicateID)
		return false
	case requestRepeated:
		g.reject(w, rejectRepeatedID)
		return false
	}
	g.capacityLog.log("at_capacity", "id", h.request.ID, "in_flight", g.clients.inFlightCount())
	writeAtCapacity(w, h.config)
	return false
}

// admitBesideSiblings rejects a request that must not run twice if another process of this gateway has had it, and sheds it
// if that is not known. It is registered here by then, so that of two processes that ask each other none admits it.
func (h *requestHandler) admitBesideSiblings(w http.ResponseWriter) bool {
	g := h.gateway
	if g.options.Siblings == nil || h.isRepeatable() {
		return true
	}
	known, err := g.options.Siblings.HasRequest(h.request.ID)
	if !known && err == nil {
		return true
	}
	g.clients.endRequest(h.request.ID, false)
	if known {
		g.reject(w, rejectRepeatedID)
		return false
	}
	g.capacityLog.log("request_id_not_checked", "id", h.request.ID, "err", err)
	writeAtCapacity(w, h.config)
	return false
}

// isRepeatable reports whether the class of the request may run any number of times.
func (h *requestHandler) isRepeatable() bool {
	class, err := h.config.class(h.request.Request.Class)
	return err == nil && class.Idempotency == balancer.Idempotent
}

// endRequest ends the request after its attempts were cancelled. One that may have run, and whose class must not run twice,
// is not admitted again, whether its client has left or has been answered.
func (h *requestHandler) endRequest() {
	mayHaveRun := h.inFlight != nil && h.inFlight.MayHaveRun()
	h.gateway.clients.endRequest(h.request.ID, mayHaveRun && !h.isRepeatable())
}

// initInFlight creates the request's record that the event loop and the attempts share.
func (h *requestHandler) initInFlight(ctx context.Context, cancel context.CancelFunc) {
	maxAttempts := max(protocolMaxAttempts, h.gateway.options.Settings.MaxAttempts)
	h.inFlight = inflight.NewRequest(ctx, h.request.ID, h.request.Request, h.arrivedAt+h.request.Timeout, maxAttempts)
	h.inFlight.ClientClosed = h.conn.clientDisconnected
	h.inFlight.Cancel = cancel
	h.result.outcome = outcomeClientDisconnected
}

// recordResult reports and logs how the request ended.
func (h *requestHandler) recordResult(ctx context.Context) {
	g := h.gateway
	if g.options.RequestEnded != nil {
		g.options.RequestEnded(h.config.missedObjective(&h.request, h.result.outcome, h.result.firstToken))
	}
	h.result.log(ctx, &h.request, g.clock.now()-h.arrivedAt)
}

// runActions executes the event loop's actions until the request is answered or its context ends.
func (h *requestHandler) runActions(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	for {
		select {
		case action := <-h.inFlight.Actions:
			switch action.Kind {
			case inflight.ActionForward:
				h.result.attempts++
				h.result.listAge = action.Attempt.Basis.ListAge
				exchange := &attemptExchange{h.gateway, r, h.body, action.Attempt, h.lease}
				h.lease.startAttempt(exchange.run)
			case inflight.ActionStream:
				h.stream(ctx, w, action.Attempt)
				return
			default:
				h.writeFinalResponse(w, action)
				return
			}
		case <-ctx.Done(): // also cancels the attempts
			h.abandon()
			return
		}
	}
}

// stream relays an attempt's stream to the client.
func (h *requestHandler) stream(ctx context.Context, w http.ResponseWriter, attempt *inflight.Attempt) {
	h.body = nil // no further attempt needs it, and a stream may last long
	h.result.replica = attempt.Replica.Endpoint.ID
	h.result.firstToken = h.gateway.clock.now() - h.arrivedAt
	complete := relayStream(w, attempt, h.lease)
	switch {
	case ctx.Err() != nil || h.lease.lost():
		h.gateway.loop.events <- requestCancelled{h.inFlight}
	case complete:
		h.result.outcome = outcomeServed
	default:
		h.result.outcome = outcomeStreamBroken
	}
	if !complete {
		// Closes the connection without the last chunk, so that the client detects the broken
		// stream and may resume it.
		panic(http.ErrAbortHandler)
	}
}

// writeFinalResponse sends a final response that has no stream.
func (h *requestHandler) writeFinalResponse(w http.ResponseWriter, action inflight.Action) {
	switch action.Kind {
	case inflight.ActionShed:
		h.setResult(outcomeShed, action)
		writeOverload(w, action.RetryAfter)
	case inflight.ActionDeny:
		h.setResult(outcomeContractRejected, action)
		writeContractRejection(w, action.Reason, action.RetryAfter)
	case inflight.ActionReject:
		h.setResult(outcomeRejected, action)
		h.gateway.reject(w, badRequest(action.Reason))
	case inflight.ActionFail:
		h.setResult(outcomeFailed, action)
		http.Error(w, "the request failed", http.StatusBadGateway)
	}
}

func (h *requestHandler) setResult(o outcome, action inflight.Action) {
	h.result.outcome = o
	h.result.reason = action.Reason
	h.result.retryAfter = action.RetryAfter
}

// abandon ends a request whose client has disconnected or which another gateway has taken over.
func (h *requestHandler) abandon() {
	h.gateway.loop.events <- requestCancelled{h.inFlight}
	if h.lease.lost() {
		h.result.outcome = outcomeTakenOver
		panic(http.ErrAbortHandler)
	}
}
