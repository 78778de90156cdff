// Package controlsocket transports operators' commands on the gateway's own machine: HTTP over a Unix
// socket that only the gateway's user may open. Each command and each response is one small JSON value.
package controlsocket
