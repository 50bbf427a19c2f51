# Functions for cases. A case starts a cluster and a load, strikes when the load is
# under way, waits for the end of the load and checks what it shows.

WHY=()     # what a case found broken
PRINTED="" # set once the case's line is out
FAULT_AT=0 # unix milliseconds
DISTURBED=1000
PARTITIONS=8 # of the journal, as in start_daemon
R_requests=0 R_answered=0 R_lost=0 R_doubled=0 R_in_doubt=0 R_wrong=0 R_false_not_run=0 R_false_complete=0 R_cut=0 R_given_up=0
RECOVERED=0

now_ms() { date +%s%3N; }

# check WHAT ARGS... notes WHAT as broken unless test ARGS holds.
check() {
	local what=$1
	shift
	[ "$@" ] || WHY+=("$what: not $*")
}

# wait_until WHAT COMMAND... waits until the command succeeds.
wait_until() {
	local what=$1 i
	shift
	for ((i = 0; i < 600; i++)); do
		"$@" >/dev/null 2>&1 && return 0
		sleep 0.05
	done
	WHY+=("waited in vain until $what")
	return 1
}

# load MARK [FLAGS...] starts the load and waits until MARK requests have ended.
load() {
	local mark=$1
	shift
	"$BIN/loadgen" --daemon "$CALLERS_d1" --daemon "$CALLERS_d2" --daemon "$CALLERS_d3" \
		--service-standin "$ADDR_s1" --service-standin "$ADDR_s2" \
		--org atlas=atlas-key --org fonografos=fonografos-key \
		--model verdict --seed "${SEED:-1}" --contexts 4 --turns 6 --context-tokens 4000 --gap 600ms \
		--service cards --calls 60 --callers 4 --call-gap 300ms --silent-after 15s --max-backoff 500ms --log-level debug \
		"$@" --endings-file "$WORK/endings" --mark-after "$mark" --mark-file "$WORK/mark" \
		>"$WORK/report" 2>"$WORK/loadgen.log" &
	track load $!
	wait_file "$WORK/mark"
}

# ended COUNT tells whether so many requests have ended.
ended() { [ "$(wc -l <"$WORK/endings")" -ge "$1" ]; }

# end_load waits for the end of the load and reads its report into R_*.
end_load() {
	local name value status=0
	wait "$PID_load" || status=$?
	check "the load could be measured" "$status" -le 1
	while IFS== read -r name value; do
		printf -v "R_$name" '%s' "$value"
	done <"$WORK/report"
	RECOVERED=$(recovered)
	check "no answer is lost or wrong" "$R_lost" -eq 0
	check "no call is doubled" "$R_doubled" -eq 0
	check "no call that ran is refused as not run" "$R_false_not_run" -eq 0
	check "no incomplete answer is framed as complete" "$R_false_complete" -eq 0
	check "every request is answered or in doubt" "$((R_answered + R_in_doubt))" -eq "$R_requests"
}

# unnoticed checks that no connection of a caller ended without an answer, and that no
# place at a target stays taken when all are answered. It would lapse after 15 s.
unnoticed() {
	local i
	check "no caller's connection is cut" "$R_cut" -eq 0
	for ((i = 0; i < 60 && $(places_taken) > 0; i++)); do
		sleep 0.05
	done
	check "places at targets are given back" "$(places_taken)" -eq 0
}

# places_taken prints how many requests the coordinators count at their targets.
places_taken() {
	local name
	for name in d1 d2 d3; do
		state "$name" targets
	done | awk -F'[:,]' '$1 ~ /"running"/ { sum += $2 } END { print sum + 0 }'
}

# recovered prints the milliseconds from FAULT_AT until the last request that the fault
# disturbed had its final outcome: one that took over DISTURBED milliseconds. Without a
# fault none takes so long; a refusal for a moment, as when a partition moves to another
# daemon by plan, costs half a second.
recovered() {
	awk -v at="$FAULT_AT" -v disturbed="$DISTURBED" '
		$1 >= at && $2 > disturbed && $1 - at > most { most = $1 - at }
		END { print most + 0 }' "$WORK/endings"
}

# at_fault notes that the fault strikes, or that its cause is gone, now.
at_fault() { FAULT_AT=$(now_ms); }

# end_process SIGNAL NAME sends a signal to a process that was started here and waits for
# its end. It sets ENDED to the exit code.
end_process() {
	local pid=PID_$2
	kill "-$1" "${!pid}"
	ENDED=0
	wait "${!pid}" 2>/dev/null || ENDED=$?
}

is_alive() {
	local pid=PID_$1
	kill -0 "${!pid}" 2>/dev/null
}

# fault NAME JSON sets fault switches of a stand-in.
fault() {
	local address=ADDR_$1
	"$BIN/standin" ask "${!address}/fault" "$2" >/dev/null
}

# switch NAME SWITCH prints where a switch of a stand-in stands.
switch() {
	local address=ADDR_$1
	"$BIN/standin" ask "${!address}/fault" | number "$2"
}

# number FIELD prints a number out of a flat JSON object.
number() { tr '{,}' '\n\n\n' | awk -F: -v field="\"$1\"" '$1 == field { print $2 + 0 }'; }

# stat NAME FIELD prints a count of an engine.
stat() {
	local address=ADDR_$1
	"$BIN/standin" ask "${!address}/debug/stats" | number "$2"
}

# metric NAME prints a counter's sum over the daemons that live.
metric() {
	local name address
	for name in d1 d2 d3; do
		address=PEER_$name
		"$BIN/standin" ask "${!address}/metrics" 2>/dev/null || true
	done | awk -v name="bluebellscale_$1" '$1 ~ "^" name "([{]|$)" { sum += $2 } END { print sum + 0 }'
}

# state DAEMON [PATH] prints a daemon's dump.
state() {
	local address=PEER_$1
	"$BIN/standin" ask "${!address}/debug/${2:-state}"
}

# held DAEMON prints how many partitions of the journal a daemon holds.
held() { state "$1" | grep -c '"held": true' || true; }

# holder prints the daemon that holds most partitions of the journal.
holder() {
	local name n most=0 best=""
	for name in d1 d2 d3; do
		n=$(held "$name")
		if [ "$n" -gt "$most" ]; then
			most=$n
			best=$name
		fi
	done
	echo "$best"
}

# all_held DAEMONS... tells whether these daemons hold all partitions of the journal.
all_held() {
	local name sum=0
	for name in "$@"; do
		sum=$((sum + $(held "$name")))
	done
	[ "$sum" -eq "$PARTITIONS" ]
}

# others DAEMON prints the other two.
others() { echo d1 d2 d3 | tr ' ' '\n' | grep -v "^$1\$"; }

print_case() {
	local verdict=PASS
	[ ${#WHY[@]} -eq 0 ] || verdict=FAIL
	echo "case=$NAME requests=$R_requests answered=$R_answered lost=$R_lost doubled=$R_doubled" \
		"in_doubt=$R_in_doubt wrong=$R_wrong recovered_ms=$RECOVERED verdict=$verdict"
	PRINTED=yes
	[ "$verdict" = PASS ]
}
