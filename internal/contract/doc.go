// Package contract accounts for the contracts of teams that share a fleet: a rate
// in units a second, floors for some classes of request, and budgets by calendar
// period.
//
// A Ledger holds one account for each team, in the manner of a token bucket. A
// request is charged an estimate when it is admitted (Ledger.Charge) and corrected
// to what it used when it ends (Ledger.Settle). What idle accounts cannot save up
// goes to a common pool that other teams may borrow from. A request beyond its
// team's rate is not rejected but competes with a smaller priority weight, unless
// its contract is marked hard.
//
// The package does no I/O and reads no clock: the caller passes the time with each
// call. A Ledger may be used by one goroutine at a time. The same calls in the same
// order give the same state to the byte, which captures and their replay rely on.
//
// See docs/design/contracts.md.
package contract
