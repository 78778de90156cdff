// Package configversion handles the numbered configuration versions that a control service streams to a
// gateway. It decides whether a version is complete, whether it is valid by itself and as a transition from the
// gateway's current state, when it is applied, and when it is rolled back.
//
// The package does no I/O and reads no clock: the caller passes the current time to each call, and a Host
// carries out the orders of a Machine. See docs/design/streamed-configuration.md.
package configversion
