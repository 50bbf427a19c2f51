// Package controlbench measures the overhead of the control plane at several cluster
// sizes: calls to the key-value service, CPU time, memory, and bytes between daemons.
// Daemons and stand-ins run as separate processes. Results are printed as name=value
// lines. CPU usage is in percent of one core.
package controlbench
