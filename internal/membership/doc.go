// Package membership tells each daemon which other daemons are live, and which of them
// has the place of a key.
//
// Each daemon exchanges what it knows with a few others in each interval. The exchange
// itself is the heartbeat: a daemon that does not answer becomes suspect, the suspicion
// spreads, and it becomes dead unless it answers the suspicion with a higher heartbeat.
// News spreads with the exchanges, and a digest of all members now and then repairs
// what was missed. So the work of a daemon does not grow with the number of daemons.
//
// Core is pure: time comes as an argument and exchanges to make come back as values. A
// node adds the table's pages and the quarantine findings, and Service is the shell
// that holds the clock and the connections. See docs/design/membership.md.
package membership
