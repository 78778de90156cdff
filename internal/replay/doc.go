// Package replay runs a capture through this build's decision module and reports where its decisions differ from the
// recorded ones. It also explains single requests, compares two builds, and plays a capture with faults that were not
// recorded (Perturb).
//
// The texts of events, actions and differences are the output of commands, and part of the digests that accepted
// differences are identified by: a change of one makes them another difference.
package replay
