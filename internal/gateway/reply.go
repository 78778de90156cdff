package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"

	"archknot/balancer"
	"archknot/internal/httpwire"
)

// rejection is the response to a request that the gateway does not serve.
type rejection struct {
	status int
	reason string
}

func badRequest(reason string) *rejection { return &rejection{http.StatusBadRequest, reason} }

var (
	// rejectAmbiguousFraming: the length of the request is ambiguous.
	rejectAmbiguousFraming = &rejection{http.StatusBadRequest, "Content-Length, Transfer-Encoding: one of them, once"}
	// rejectDuplicateID: a request with this id is in flight; a replica would run it twice.
	rejectDuplicateID = &rejection{http.StatusConflict, "Req-Id: that of a request in hand"}
	// rejectRepeatedID: an earlier request with this id may have run, and its class must not run twice.
	rejectRepeatedID = &rejection{http.StatusConflict, "Req-Id: that of an earlier request, which may have run"}
	// rejectBodyTooLarge: the body exceeds the protocol's limit.
	rejectBodyTooLarge = &rejection{http.StatusRequestEntityTooLarge, fmt.Sprintf("body: over %d bytes", httpwire.MaxBodyBytes)}
	// bodyMemoryExhausted: the memory reserved for request bodies is in use.
	bodyMemoryExhausted = &rejection{http.StatusServiceUnavailable, "full"}
)

// capacityRetryAfter is the Retry-After of a response caused by one of the gateway's own limits.
const capacityRetryAfter balancer.Micros = 500_000

// reject sends an error response and closes the connection, so that a client which keeps sending
// such requests has to reconnect for each.
func (g *Gateway) reject(w http.ResponseWriter, rejected *rejection) {
	g.rejectLog.log("rejected", "status", rejected.status, "reason", rejected.reason)
	w.Header().Set("Connection", "close")
	http.Error(w, rejected.reason, rejected.status)
}

// writeOverload sheds a request with a 503, with a Retry-After if retryAfter is not 0.
func writeOverload(w http.ResponseWriter, retryAfter balancer.Micros) {
	setRetryAfter(w, retryAfter)
	http.Error(w, "overloaded, try again", http.StatusServiceUnavailable)
}

// writeAtCapacity sheds a request because of one of the gateway's own limits, which the decision
// module does not track, and closes the connection.
func writeAtCapacity(w http.ResponseWriter, config *liveConfig) {
	w.Header().Set("Connection", "close")
	writeOverload(w, min(capacityRetryAfter, config.maxRetryAfter))
}

// writeContractRejection sends a 429 for a request that its team's contract does not allow, with a
// machine-readable reason.
func writeContractRejection(w http.ResponseWriter, reason string, retryAfter balancer.Micros) {
	setRetryAfter(w, retryAfter)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusTooManyRequests)
	// A failed write means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(map[string]any{
		"error": map[string]any{"type": "contract", "code": reason, "retry_after_ms": retryAfter / 1000},
	})
}

func setRetryAfter(w http.ResponseWriter, retryAfter balancer.Micros) {
	if retryAfter > 0 {
		w.Header().Set("Retry-After", httpwire.FormatRetryAfter(retryAfter))
	}
}
