#!/usr/bin/env bash
# Runs one case in processes of its own and prints its line.
set -euo pipefail
cd "$(dirname "$0")/.."
NAME=$1
BIN=$PWD/bin
WORK=$(mktemp -d)
. scripts/lib.sh
. scripts/caselib.sh
for file in scripts/cases/*.sh; do
	. "$file"
done

# finish stops everything on every way out, and tells why a case failed.
finish() {
	local status=$?
	stop_all
	if [ "$status" -ne 0 ]; then
		[ -n "$PRINTED" ] || echo "case=$NAME verdict=FAIL"
		printf '  %s\n' "${WHY[@]:-the script stopped at an error}" >&2
		grep -v DEBUG "$WORK/loadgen.log" 2>/dev/null | tail -n 3 >&2 || true
	fi
	if [ -n "${KEEP:-}" ]; then
		mkdir -p "$KEEP/$NAME"
		cp "$WORK"/* "$KEEP/$NAME/" 2>/dev/null || true
	fi
	rm -rf "$WORK"
	exit "$status"
}
trap finish EXIT

"case_$NAME"
print_case
