# Two people at the table.

ROUNDS=10

# Two operators edit one row at the same moment, from the same revision. One is accepted;
# the other gets exit code 3 with both values. What was accepted is in force everywhere
# and never reverts. Here requests are edits, answered are accepted ones, lost are accepted
# ones that are not the row's value, and wrong are rounds with another outcome.
case_two_operators() {
	local round revision first second status_1 status_2 value
	start_cluster
	at_fault
	for ((round = 1; round <= ROUNDS; round++)); do
		revision=$(row_cell revision)
		first=$((1000 + round))
		second=$((2000 + round))
		edit one "$revision" "$first" &
		track one $!
		edit two "$revision" "$second" &
		track two $!
		status_1=0 status_2=0
		wait "$PID_one" || status_1=$?
		wait "$PID_two" || status_2=$?
		R_requests=$((R_requests + 2))
		case "$status_1,$status_2" in
		0,3) value=$first && told_both two "$first" "$second" ;;
		3,0) value=$second && told_both one "$first" "$second" ;;
		*)
			R_wrong=$((R_wrong + 1))
			continue
			;;
		esac
		R_answered=$((R_answered + 1))
		echo "$value" >>"$WORK/accepted"
		in_force
		if [ "$(row_cell burst)" != "$value" ]; then
			R_lost=$((R_lost + 1))
		fi
	done
	RECOVERED=$(($(now_ms) - FAULT_AT))
	check "each round has one accepted and one refused edit" "$R_wrong" -eq 0
	check "accepted edits stand" "$R_lost" -eq 0
	check "the history ends with the accepted edits" "$(history)" = "$(tail -n 6 "$WORK/accepted")"
}

# edit WHO REVISION BURST sets a cell of one row.
edit() {
	"$BIN/bluebellctl" table set --kv "$ADDR_kv" --who "$1" --revision "$2" \
		organisations atlas "burst=$3" >"$WORK/edit.$1" 2>&1
}

# told_both WHO FIRST SECOND checks that a refused operator was told both values.
told_both() {
	check "the refused operator sees $2" "$(grep -c "$2" "$WORK/edit.$1")" -ge 1
	check "the refused operator sees $3" "$(grep -c "$3" "$WORK/edit.$1")" -ge 1
}

# row_cell NAME prints a cell of the row, or its revision.
row_cell() {
	"$BIN/bluebellctl" table get --kv "$ADDR_kv" organisations atlas | tr -d '()' | awk -v name="$1" '$1 == name { print $2 }'
}

# in_force waits until the daemons have the table in force, and notes one that went back.
in_force() {
	"$BIN/bluebellctl" table wait --kv "$ADDR_kv" --timeout 10s "$PEER_d1" "$PEER_d2" "$PEER_d3" >"$WORK/wait.log" ||
		WHY+=("an accepted edit is in force within 10 s")
}

# history prints the last values of the cell, oldest first; six edits of a row are kept.
history() {
	"$BIN/bluebellctl" table history --kv "$ADDR_kv" organisations atlas | awk '$5 == "burst" { print $NF }'
}
