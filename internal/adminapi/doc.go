// Package adminapi serves the HTTP address for operators: they query readiness, eject and reinstate
// replicas, and drain the gateway and resume service. Each connection carries one call, and keep-alive is
// off. A 2xx status means success, 4xx and 5xx failure, with the reason as text.
package adminapi
