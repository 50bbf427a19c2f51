# Faults of the key-value service. OUTAGE is the time-scaled minute.

OUTAGE=8 # seconds; the lease of a daemon is 3

# outage_begins and outage_ends make the service refuse every call, for OUTAGE in all.
outage_begins() {
	fault kv '{"down":true}'
	OUTAGE_FROM=$(now_ms)
}

outage_ends() {
	local left=$((OUTAGE_FROM + OUTAGE * 1000 - $(now_ms)))
	if [ "$left" -gt 0 ]; then
		sleep "$((left / 1000)).$(printf %03d $((left % 1000)))"
	fi
	fault kv '{"down":false}'
	at_fault
}

# long_load is a load that goes on past an outage.
long_load() { load "$1" --turns 10 --gap 1s --calls 100 --call-gap 500ms "${@:2}"; }

# The key-value service is down for long under load. Prompts go on; calls that may not
# be repeated are refused as not run once the leases have lapsed, and come through after.
case_kv_down() {
	start_cluster
	long_load 30
	outage_begins
	outage_ends
	end_load
	unnoticed
	check "callers come through within 15 s of its end" "$RECOVERED" -lt 15000
}

# The key-value service answers late, but within the daemons' timeout: calls that may not
# be repeated take longer, and nothing is refused for good.
case_kv_slow() {
	start_cluster
	load 30
	fault kv '{"slow_ms":300}'
	wait_until "another 70 requests have ended" ended 100
	fault kv '{"slow_ms":0}'
	at_fault
	end_load
	unnoticed
	check "no request is in doubt" "$R_in_doubt" -eq 0
	check "callers come through within 10 s of its end" "$RECOVERED" -lt 10000
}

# A daemon is replaced during the outage. It can read nothing from the service, so it
# learns the table from its peers, and serves prompts before the outage ends.
case_kv_down_daemon_restarted() {
	start_cluster
	long_load 30
	outage_begins
	end_process KILL d3
	start_daemon d3 pack "$PEER_d1,$PEER_d2"
	wait_until "the new daemon has the table from its peers" serves_prompts d3
	check "that was during the outage" "$(($(now_ms) - OUTAGE_FROM))" -lt $((OUTAGE * 1000))
	outage_ends
	end_load
}

# serves_prompts DAEMON asks it for a small completion.
serves_prompts() {
	local address=CALLERS_$1
	"$BIN/standin" ask --bearer atlas-key "${!address}/v1/completions" \
		'{"model":"verdict","prompt":"Is batch 7 good to pour?","max_tokens":4}'
}

# Two faults at once: the daemon that holds the journal dies while the service is down,
# so nobody can take its partitions over before the service is back.
case_kv_down_daemon_killed() {
	start_cluster
	slow_services
	wait_until "the journal is held" all_held d1 d2 d3
	long_load 30
	outage_begins
	end_process KILL "$(holder)"
	outage_ends
	end_load
	check "callers come through within 20 s of its end" "$RECOVERED" -lt 20000
}

lost_answers() { "$BIN/standin" ask "$ADDR_kv/debug/counts" | number lost; }

# Answers of the service are lost after the writes took effect: a daemon must neither
# take its own write for another's nor run a call whose intent it could not settle.
case_kv_answers_lost() {
	start_cluster
	load 30
	at_fault
	fault kv '{"lose_writes":40}'
	end_load
	unnoticed
	check "no request is in doubt" "$R_in_doubt" -eq 0
	check "answers were lost" "$(lost_answers)" -eq 40
}
