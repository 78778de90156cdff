// Package capture records every call of a decision module and every action that it takes, and reads such recordings.
//
// A Recorder stands between the module's owner and the module. A Writer, in a goroutine of its own, writes blocks of
// records into segments on disk. Neither blocks the owner or grows without bound: records that cannot be handed to the
// Writer are lost in a gap, which is noted in the capture and ended by a checkpoint of the module's state.
package capture
