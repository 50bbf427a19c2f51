#!/usr/bin/env bash
# Runs stand-ins and three daemons as separate processes, drives returning prompts and
# service calls while one daemon is killed, and prints name=value lines. Exits non-zero
# if an answer was lost or a call was doubled.
set -euo pipefail
cd "$(dirname "$0")/.."
BIN=$PWD/bin
WORK=$(mktemp -d)
. scripts/lib.sh
trap 's=$?; stop_all; if [ $s -ne 0 ]; then tail -n 15 "$WORK"/*.log >&2; fi; rm -rf "$WORK"' EXIT

start_cluster

"$BIN/loadgen" --daemon "$CALLERS_d1" --daemon "$CALLERS_d2" --daemon "$CALLERS_d3" \
	--service-standin "$ADDR_s1" --service-standin "$ADDR_s2" \
	--org atlas=atlas-key --org fonografos=fonografos-key \
	--model verdict --seed "${SEED:-1}" --contexts 6 --turns 5 --context-tokens 4000 --gap 500ms \
	--service cards --calls 40 --call-gap 50ms \
	--mark-after 40 --mark-file "$WORK/mark" >"$WORK/report" 2>"$WORK/loadgen.log" &
LOAD=$!
wait_file "$WORK/mark"
kill -KILL "$PID_d2"
status=0
wait "$LOAD" || status=$?
cat "$WORK/report"
if [ "$status" -ne 0 ]; then
	tail -n 20 "$WORK"/*.log >&2
fi
exit "$status"
