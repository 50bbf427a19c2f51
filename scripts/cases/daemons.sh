# Faults of the system's own processes.

# slow_services makes a call run for 200 ms, so that a fault meets calls under way.
slow_services() {
	fault s1 '{"slow":40}'
	fault s2 '{"slow":40}'
}

# A VM is gone at once, with requests in flight, and with it the leases of the journal.
# Callers turn to other addresses and ask again with the same key.
case_daemon_killed() {
	start_cluster
	slow_services
	wait_until "the journal is held" all_held d1 d2 d3
	load 30
	at_fault
	end_process KILL "$(holder)"
	end_load
	check "callers come through within 20 s" "$RECOVERED" -lt 20000
}

# A VM is paused past its lease and wakes up believing that it still holds it. Meanwhile
# another daemon holds the journal; what the woken one writes must not count. Callers turn
# elsewhere after a second, so the same keys are asked for on both sides.
case_daemon_paused() {
	local paused survivors
	start_cluster
	slow_services
	wait_until "the journal is held" all_held d1 d2 d3
	paused=$(holder)
	load 30 --silent-after 1s
	at_fault
	kill -STOP "$(pid_of "$paused")"
	survivors=$(others "$paused")
	wait_until "another daemon holds all that the paused one held" all_held $survivors
	kill -CONT "$(pid_of "$paused")"
	end_load
	check "callers come through within 20 s" "$RECOVERED" -lt 20000
}

pid_of() {
	local pid=PID_$1
	echo "${!pid}"
}

# An operator stops a daemon for an upgrade. Nothing in flight is cut off: no connection
# ends without its answer, nothing is in doubt, and the process exits with 0.
case_daemon_stopped() {
	start_cluster
	slow_services
	wait_until "the journal is held" all_held d1 d2 d3
	load 30 --max-tokens 200
	at_fault
	end_process TERM "$(holder)"
	check "the exit code is 0" "$ENDED" -eq 0
	end_load
	check "no request is in doubt" "$R_in_doubt" -eq 0
	check "no connection is cut before its answer" "$R_cut" -eq 0
}
