// Package replay runs a capture through this build's decision module and reports where its decisions differ from the
// recorded ones. It also explains single requests, compares two builds, and replays a capture with injected faults
// (Perturb).
//
// The texts of events, actions and differences are printed by commands and are hashed into the digests that identify
// accepted differences. Changing such a text therefore invalidates stored digests.
package replay
