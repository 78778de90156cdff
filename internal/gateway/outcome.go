package gateway

import (
	"context"
	"fmt"
	"log/slog"

	"archknot/balancer"
	"archknot/internal/httpwire"
)

// outcome is how a client's request ended, as logged.
type outcome string

const (
	outcomeServed             outcome = "served"            // the stream was relayed to its end
	outcomeStreamBroken       outcome = "stream_broken"     // the stream broke after its first event
	outcomeShed               outcome = "shed"              // 503, the request never ran
	outcomeContractRejected   outcome = "contract_rejected" // 429, the team's contract does not allow it
	outcomeRejected           outcome = "rejected"          // 4xx
	outcomeFailed             outcome = "failed"            // 502
	outcomeClientDisconnected outcome = "client_gone"       // the client closed its connection first
	outcomeTakenOver          outcome = "taken_over"        // another gateway has taken over the request
)

// requestResult describes the end of a request for the log.
type requestResult struct {
	outcome    outcome
	reason     string // why the request was not served
	replica    string // the replica whose stream the client received
	attempts   int
	listAge    balancer.Micros // age of the endpoint list when the last attempt was decided
	firstToken balancer.Micros // time from the request's arrival to its first token; 0: none
	retryAfter balancer.Micros // Retry-After sent to the client; 0: none
}

// log writes the log line of a request that has ended.
func (r *requestResult) log(ctx context.Context, request *httpwire.ClientRequest, elapsed balancer.Micros) {
	slog.LogAttrs(ctx, slog.LevelInfo, "request",
		slog.String("id", request.ID),
		slog.String("class", request.Request.Class),
		slog.String("session", fmt.Sprintf("%016x", request.Request.Session)),
		slog.String("outcome", string(r.outcome)),
		slog.String("reason", r.reason),
		slog.Int("attempts", r.attempts),
		slog.String("replica", r.replica),
		slog.Int64("timeout_ms", request.Timeout/1000),
		slog.Int64("first_token_ms", r.firstToken/1000),
		slog.Int64("total_ms", elapsed/1000),
		slog.Int64("retry_after_ms", r.retryAfter/1000),
		slog.Int64("list_age_ms", r.listAge/microsPerMilli))
}
