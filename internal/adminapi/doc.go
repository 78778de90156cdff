// Package adminapi serves the operators' HTTP API: readiness, ejection and reinstatement of replicas, and
// drain and resume of the gateway. Each connection carries one call; keep-alive is off. A 2xx status means
// success, 4xx and 5xx mean failure, with the reason as plain text.
package adminapi
