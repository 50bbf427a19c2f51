#!/usr/bin/env bash
# Runs every case of scripts/cases against separate processes: a line a case, then how
# many passed and failed. Exits non-zero if one failed.
#
#   scripts/faults.sh [NAME...]    only these cases
#   SEED=7 scripts/faults.sh       another load
#   KEEP=DIR scripts/faults.sh     keeps the logs of the cases in DIR
set -uo pipefail
cd "$(dirname "$0")/.."

CASES="daemon_killed daemon_paused daemon_stopped
	kv_down kv_slow kv_down_daemon_restarted kv_down_daemon_killed kv_answers_lost
	engine_killed engine_silent engine_leaving vm_leaving answers_swapped_and_late
	store_killed stores_full_and_slow service_answers_lost answers_broken_off poison_request two_operators"

passed=0
failed=0
for name in ${*:-$CASES}; do
	if scripts/case.sh "$name"; then
		passed=$((passed + 1))
	else
		failed=$((failed + 1))
	fi
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
