// Package simwire reads and writes the simulator's text protocol: tab-separated lines, with batches of events
// on the way in and one reply of actions to each batch on the way out.
//
// A batch begins with TURN and its clock, names the gateway that the following lines are for with ON, and
// ends with OVER_TO_YOU. A reply names the gateway with FOR and ends with DONE.
package simwire
