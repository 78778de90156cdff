// Package capture records every call of a decision module and every action that it takes, and reads such recordings.
//
// A Recorder wraps the module: its owner calls the Recorder, which calls the module. A Writer, in a goroutine of its
// own, writes blocks of records into segments on disk. Unless WriterOptions.BlockWhenFull is set, neither blocks the
// owner, and both use bounded memory. Records that cannot be queued for the Writer are lost. Such a gap is recorded in
// the capture, and a checkpoint of the module's state ends it.
package capture
