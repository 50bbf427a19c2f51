// Package controlbench measures what control costs: calls to the key-value service,
// processor time, memory and bytes between daemons, at several sizes, with daemons and
// stand-ins as separate processes. It prints lines of name=value. Rates of processor
// time are hundredths of one core.
package controlbench
