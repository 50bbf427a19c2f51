#!/usr/bin/env bash
# Plays the days of deploy/days on a site of the users' platform and prints a line each.
# Without DAYs it plays all, and the seeds of deploy/days/seeds.txt.
# Usage: scripts/days.sh BENCH SITE [DAY...]
# JOBS days are played at once (4). Output of each stays in OUT (a new directory).
set -euo pipefail
cd "$(dirname "$0")/.."
bench=$1 site=$2
shift 2
jobs=${JOBS:-4}
out=${OUT:-$(mktemp -d)}
mkdir -p "$out"
days=("$@")
seeds=()
if [ ${#days[@]} -eq 0 ]; then
	for f in deploy/days/*.toml; do days+=("$(basename "$f" .toml)"); done
	while read -r name day seed _; do
		if [ "$name" = "$(basename "$site" .toml)" ]; then seeds+=("$day:$seed"); fi
	done < <(grep -v '^#' deploy/days/seeds.txt)
fi
# The days name context stores by their size only.
stores=($(sed -n 's/^ *{ name = "\([^"]*\)", model = "kvstore".* kv_tokens = \([0-9]*\).*/\2 \1/p' "$site" | sort -n | awk '{print $2}'))
"$bench" build >/dev/null
play() {
	local day=$out/$1.toml
	sed "s/@small-store@/${stores[0]}/; s/@large-store@/${stores[1]}/" "deploy/days/$1.toml" >"$day"
	"$bench" run "$site" "$day" --no-cpu --log all --why "matrix of troubles: $1" >"$out/$1.txt" 2>&1 || true
}
for seed in "${seeds[@]}"; do
	"$bench" run "$site" "${seed%%:*}" --seed "${seed##*:}" --no-cpu --why "seed that broke a rule once" >"$out/$seed.txt" 2>&1 || true
done
for day in "${days[@]}"; do
	while [ "$(jobs -rp | wc -l)" -ge "$jobs" ]; do wait -n; done
	play "$day" &
done
wait
for day in "${days[@]}"; do
	grep -E "^$day +[0-9]" "$out/$day.txt" || echo "$day: not played, see $out/$day.txt"
done
for seed in "${seeds[@]}"; do
	grep -E "^${seed%%:*} +[0-9]" "$out/$seed.txt" || echo "$seed: not played, see $out/$seed.txt"
done
