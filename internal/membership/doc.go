// Package membership determines which daemons are live and which live daemon owns a key.
//
// Each daemon exchanges membership records with a few peers in each interval. An exchange
// also serves as the heartbeat: a daemon that does not answer becomes suspect, its peers
// broadcast the suspicion, and the daemon becomes dead unless it refutes the suspicion with
// a higher heartbeat. Exchanges carry recent updates, and periodic digests of all members
// repair missed ones, so the work of a daemon does not grow with the number of daemons.
//
// Core implements the protocol without I/O: it takes the time as an argument and returns
// the exchanges to send. A node adds the pages of the table and the crash records of the
// quarantine. Service adds the clock and the connections. See docs/design/membership.md.
package membership
