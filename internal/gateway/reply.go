package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"

	"archknot/balancer"
	"archknot/internal/httpwire"
)

// rejection is the answer to a request that the gateway does not serve.
type rejection struct {
	status int
	reason string
}

func badRequest(reason string) *rejection { return &rejection{http.StatusBadRequest, reason} }

var (
	// rejectAmbiguousFraming: the length of the request is in doubt.
	rejectAmbiguousFraming = &rejection{http.StatusBadRequest, "Content-Length, Transfer-Encoding: one of them, once"}
	// rejectDuplicateID: a request with this id is in flight; a replica would run it twice.
	rejectDuplicateID = &rejection{http.StatusConflict, "Req-Id: that of a request in hand"}
	// rejectBodyTooLarge: the body exceeds the protocol's limit.
	rejectBodyTooLarge = &rejection{http.StatusRequestEntityTooLarge, fmt.Sprintf("body: over %d bytes", httpwire.MaxBodyBytes)}
	// bodyMemoryExhausted: the memory reserved for request bodies is in use.
	bodyMemoryExhausted = &rejection{http.StatusServiceUnavailable, "full"}
)

// capacityRetryAfter is the advice in a reply that one of the gateway's own limits caused.
const capacityRetryAfter balancer.Micros = 500_000

// reject answers a request that is not served and closes the connection: a client that
// goes on sending such requests has to connect for each.
func (g *Gateway) reject(w http.ResponseWriter, rejected *rejection) {
	g.rejectLog.log("rejected", "status", rejected.status, "reason", rejected.reason)
	w.Header().Set("Connection", "close")
	http.Error(w, rejected.reason, rejected.status)
}

// writeOverload sheds a request: 503, with Retry-After if there is advice.
func writeOverload(w http.ResponseWriter, retryAfter balancer.Micros) {
	setRetryAfter(w, retryAfter)
	http.Error(w, "overloaded, try again", http.StatusServiceUnavailable)
}

// writeAtCapacity sheds a request for one of the gateway's own limits, of which the
// decision module knows nothing, and closes the connection.
func writeAtCapacity(w http.ResponseWriter, config *liveConfig) {
	w.Header().Set("Connection", "close")
	writeOverload(w, min(capacityRetryAfter, config.maxRetryAfter))
}

// writeContractRejection answers a request that its team's contract does not allow: 429,
// with the reason in a form for machines.
func writeContractRejection(w http.ResponseWriter, reason string, retryAfter balancer.Micros) {
	setRetryAfter(w, retryAfter)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusTooManyRequests)
	// A client that has gone needs no answer.
	_ = json.NewEncoder(w).Encode(map[string]any{
		"error": map[string]any{"type": "contract", "code": reason, "retry_after_ms": retryAfter / 1000},
	})
}

func setRetryAfter(w http.ResponseWriter, retryAfter balancer.Micros) {
	if retryAfter > 0 {
		w.Header().Set("Retry-After", httpwire.FormatRetryAfter(retryAfter))
	}
}
