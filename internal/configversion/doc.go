// Package configversion decides about numbered versions of a gateway's
// configuration that a control service streams: whether a version is complete,
// whether it is valid by itself and as a step from the gateway's present state,
// when it is applied, and when it is rolled back.
//
// The package does no I/O and reads no clock: each call brings its time, and a
// Host carries out what the Machine orders. See
// docs/design/streamed-configuration.md.
package configversion
