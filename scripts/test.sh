#!/usr/bin/env bash
# Runs the test suite. Tests that KNOWN-RED.txt lists are run apart: they are printed and fail nothing.
# Usage: scripts/test.sh [FLAGS of go test...]
set -euo pipefail
cd "$(dirname "$0")/.."
known=()
if [ -s KNOWN-RED.txt ]; then
	mapfile -t known < <(cut -d'|' -f1 KNOWN-RED.txt)
fi
listed='^$'
if [ ${#known[@]} -gt 0 ]; then
	listed="^($(printf '%s\n' "${known[@]}" | awk '{print $1}' | paste -sd'|'))\$"
fi
# Tests of crowds of clients run one at a time, apart from all others: they measure what a process holds.
crowds='^TestCrowd'
# The longest package takes some ten minutes under the race detector; beside other load, twice as long.
limit=40m
go test -timeout "$limit" "$@" -skip "$listed|$crowds" ./...
for package in $(grep -rl "^func TestCrowd" --include=*_test.go internal platform | xargs -n1 dirname | sort -u); do
	go test -timeout "$limit" "$@" -run "$crowds" -skip "$listed" "./$package"
done
for entry in "${known[@]}"; do
	read -r name package <<<"$entry"
	echo "known red: $name in $package"
	go test -timeout "$limit" "$@" -run "^$name\$" "$package" || echo "known red: $name failed again"
done
