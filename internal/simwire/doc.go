// Package simwire reads and writes the simulator's text protocol of tab-separated lines. The input consists of batches
// of events; the output has one reply of actions for each batch.
//
// A batch begins with a TURN line, which carries the clock, and ends with OVER_TO_YOU. Within it, an ON line names the
// gateway that the following lines are for. A reply names the gateway in FOR lines and ends with DONE.
package simwire
