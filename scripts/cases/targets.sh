# Faults of model engines and of plain services.

# An engine dies with streams open. They go on elsewhere, and no caller is told.
case_engine_killed() {
	DISTURBED=3000 # long answers take over a second without a fault
	start_cluster
	load 30 --max-tokens 400
	wait_until "the engine runs requests" runs_requests e2
	at_fault
	end_process KILL e2
	end_load
	unnoticed
	check "no caller is told that a target failed" "$(grep -cE 'target_failed|truncated_stream' "$WORK/loadgen.log")" -eq 0
	check "streams went on elsewhere" "$(metric requests_retried)" -gt 0
}

# The open connections to an engine go silent for good while new ones work: something in
# between has lost track of them. Streams go on over fresh connections.
case_engine_silent() {
	start_cluster
	load 30
	at_fault
	fault e1 '{"silent":true}'
	fault e2 '{"silent":true}'
	end_load
	unnoticed
	check "callers come through within 10 s" "$RECOVERED" -lt 10000
	check "old connections were thrown away" "$(metric target_connection_resets)" -gt 0
}

# runs_requests ENGINE tells whether it says so; its report lags.
runs_requests() {
	local address=ADDR_$1
	[ "$("$BIN/standin" ask "${!address}/v1/load" | number running)" -gt 0 ]
}

LEAVING_WITHIN=5000 # ms until a leaving target gets nothing new

# leaves TARGET ENGINE checks that every daemon knows in time, and that the engine gets
# no new work from then on. Call it after the engine began to leave.
leaves() {
	local target=$1 engine=$2 accepted took
	wait_until "the daemons know that $target leaves" known_leaving "$target"
	took=$(($(now_ms) - FAULT_AT))
	check "the daemons know in time" "$took" -lt "$LEAVING_WITHIN"
	accepted=$(stat "$engine" accepted)
	check "the engine had work before" "$accepted" -gt 0
	end_load
	unnoticed
	check "a leaving engine gets no new work" "$(stat "$engine" accepted)" -eq "$accepted"
	RECOVERED=$took
}

# known_leaving TARGET tells whether the target's coordinator marks it as leaving.
known_leaving() {
	local name
	for name in d1 d2 d3; do
		state "$name" targets | tr -d ' \n' | grep -o "{\"target\":\"$1\"[^}]*\"here\":true[^}]*}" |
			grep '"leaving":true' >/dev/null && return 0
	done
	return 1
}

# An engine says that it leaves. recovered_ms is the time until the daemons know.
case_engine_leaving() {
	start_cluster
	load 30
	at_fault
	fault e3 '{"leaving":true}'
	leaves engine-3 e3
}

# The VM list says that an engine's VM leaves; the engine itself does not know.
case_vm_leaving() {
	start_cluster
	load 30
	at_fault
	"$BIN/standin" ask "$ADDR_vmlist/v1/vms" '[
		{"id":"vm-1","address":"127.0.0.1","role":"target"},
		{"id":"vm-2","address":"127.0.0.2","role":"target"},
		{"id":"vm-3","address":"127.0.0.3","role":"target","leaving":true}]' >/dev/null
	leaves engine-3 e3
}

# Frames of answers come swapped and late. Every caller still gets its own, whole.
case_answers_swapped_and_late() {
	local engine
	start_cluster
	for engine in e1 e2 e3; do
		fault "$engine" '{"swap_answers":200,"delay_ms":20}'
	done
	load 30
	at_fault
	end_load
	unnoticed
	check "answers were swapped" "$(swaps)" -gt 0
}

# swaps prints how many of the 200 swaps of each engine were made.
swaps() {
	local engine left sum=0
	for engine in e1 e2 e3; do
		left=$(switch "$engine" swap_answers)
		sum=$((sum + 200 - left))
	done
	echo "$sum"
}

# A store dies while contexts that met eviction come back from it. The prompt is computed
# again, nothing waits for the store past its worth.
case_store_killed() {
	BLOCKS=96 start_cluster
	load 40
	at_fault
	end_process KILL st1
	end_load
	unnoticed
	check "callers come through within 10 s" "$RECOVERED" -lt 10000
	check "contexts came back from stores" "$(metric imports)" -gt 0
}

# One store has no room left and the link of the other slows to a hundredth. Exports are
# refused or late; no caller waits for them.
case_stores_full_and_slow() {
	BLOCKS=96 start_cluster
	load 40
	at_fault
	fault st1 '{"full":true}'
	fault st2 '{"slow":100}'
	end_load
	unnoticed
	check "callers come through within 10 s" "$RECOVERED" -lt 10000
}

# A service executes calls and its answers are lost. Each of these calls is in doubt and
# never runs again.
case_service_answers_lost() {
	start_cluster
	load 30
	at_fault
	fault s1 '{"lose_answers":3}'
	fault s2 '{"lose_answers":3}'
	end_load
	unnoticed
	check "exactly the lost answers are in doubt" "$R_in_doubt" -eq 6
}

# Answers of engines and services break off, with a length, with chunks and with neither. Streams go on, the calls are in doubt, and no part
# of an answer is framed as complete.
case_answers_broken_off() {
	start_cluster
	load 30
	at_fault
	fault e1 '{"framing":"none","break_answers":20,"break_end":"cut"}'
	fault e2 '{"framing":"chunks","break_answers":20,"break_end":"cut_inside"}'
	fault e3 '{"framing":"none","break_answers":20,"break_end":"reset"}'
	fault s1 '{"framing":"length","break_answers":3,"break_end":"cut"}'
	fault s2 '{"framing":"none","break_answers":3,"break_end":"reset"}'
	end_load
	unnoticed
	check "streams broke off" "$(metric streams_resumed)" -gt 0
	check "exactly the broken answers are in doubt" "$R_in_doubt" -eq 6
}

# One request crashes every engine that runs it, and its caller sends it again and again
# to all daemons. At most two engines fall; it is then refused everywhere as not run, and
# the others' requests are answered.
case_poison_request() {
	local engine daemon fell=0
	start_cluster
	for engine in e1 e2 e3; do
		fault "$engine" '{"crash_marker":"curdled"}'
	done
	load 30 --patience 20s
	at_fault
	for daemon in d1 d2 d3 d1; do
		wait_until "$daemon refuses the request as quarantined" refuses_poison "$daemon"
	done
	for engine in e1 e2 e3; do
		is_alive "$engine" || fell=$((fell + 1))
	done
	check "at most two engines fell" "$fell" -le 2
	check "the request did crash engines" "$fell" -ge 1
	end_load
	unnoticed
}

# refuses_poison DAEMON sends the request there.
refuses_poison() {
	local address=CALLERS_$1
	"$BIN/standin" ask --bearer atlas-key "${!address}/v1/completions" \
		'{"model":"verdict","prompt":"curdled","max_tokens":4}' >"$WORK/refusal" 2>&1 || true
	grep '"code":"quarantined".*"ran":"not_run"' "$WORK/refusal"
}
