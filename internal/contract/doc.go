// Package contract accounts for the contracts of teams that share a fleet. A contract has
// a rate in units per second, floors (guaranteed rates) for some request classes, and
// budgets by calendar period.
//
// A Ledger has one account per team, which works as a token bucket. A request is charged
// an estimate when it is admitted (Ledger.Charge), which is replaced by its actual usage
// when it ends (Ledger.Settle). Units that exceed the burst of an idle account go to a
// common pool from which other teams may borrow. A request beyond its team's rate is not
// rejected but gets a smaller priority weight, unless the contract is hard.
//
// The package does no I/O and reads no clock: the caller passes the time with each call.
// A Ledger may be used by one goroutine at a time. The same calls in the same order give
// the same state, byte for byte; captures and their replay rely on it.
//
// See docs/design/contracts.md.
package contract
