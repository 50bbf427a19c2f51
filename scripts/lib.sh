# Functions that start stand-ins and daemons as separate processes on loopback and
# stop them by process id. Source it after setting BIN and WORK.

PIDS=()

# track NAME PID remembers a process for stop_all.
track() {
	PIDS+=("$2")
	eval "PID_$1=$2"
}

# wait_file FILE waits until a file is there.
wait_file() {
	local i
	for ((i = 0; i < 600; i++)); do
		[ -s "$1" ] && return 0
		sleep 0.05
	done
	echo "waited in vain for $(basename "$1")" >&2
	return 1
}

# start_standin NAME KIND [FLAGS...] sets ADDR_NAME.
start_standin() {
	local name=$1 kind=$2
	shift 2
	"$BIN/standin" "$kind" --addr-file "$WORK/$name.addr" "$@" >"$WORK/$name.log" 2>&1 &
	track "$name" $!
	wait_file "$WORK/$name.addr"
	eval "ADDR_$name=$(cat "$WORK/$name.addr")"
}

# start_daemon NAME FAILURE_DOMAIN SEEDS sets CALLERS_NAME and PEER_NAME.
start_daemon() {
	local name=$1 domain=$2 seeds=$3
	rm -f "$WORK/$name.addr"
	cat >"$WORK/$name.ini" <<INI
[daemon]
id = $name
region = fes
failure_domain = $domain
listen = 127.0.0.1:0
peer = 127.0.0.1:0
[platform]
kv = $ADDR_kv
vm_list = $ADDR_vmlist
[membership]
seeds = $seeds
interval = 200ms
suspect_after = 1s
dead_after = 2s
[table]
stale_after = ${STALE_AFTER:-60s}
[journal]
partitions = 8
lease_ttl = 3s
[streams]
silent_after = 2s
[drain]
route_keep = 1s
[fleet]
order_timeout = 1s
poll_interval = 100ms
[placement]
profile = ${PROFILE:-atlas}
[log]
level = ${LOG_LEVEL:-info}
INI
	"$BIN/bluebellscaled" --config "$WORK/$name.ini" --addr-file "$WORK/$name.addr" >"$WORK/$name.log" 2>&1 &
	track "$name" $!
	wait_file "$WORK/$name.addr"
	eval "CALLERS_$name=$(sed -n 1p "$WORK/$name.addr")"
	eval "PEER_$name=$(sed -n 2p "$WORK/$name.addr")"
}

# stop_all ends every process that was started here.
stop_all() {
	local pid
	for pid in "${PIDS[@]}"; do
		kill -CONT "$pid" 2>/dev/null || true
		kill -KILL "$pid" 2>/dev/null || true
	done
	for pid in "${PIDS[@]}"; do
		wait "$pid" 2>/dev/null || true
	done
	PIDS=()
}

key_digest() { printf '%s' "$1" | sha256sum | cut -d' ' -f1; }

# write_rows writes the sheets for the stand-ins that run: engines e1..eN, services
# s1..sN, stores st1..stN.
write_rows() {
	local dir=$1 engines=$2 services=$3 stores=$4 i address
	mkdir -p "$dir"
	{
		echo "id,key_sha256,weight,requests_per_second,burst,concurrency,tokens_per_second,models,services"
		echo "atlas,$(key_digest atlas-key),10,500,500,200,10000000,verdict,cards"
		echo "fonografos,$(key_digest fonografos-key),10,500,500,200,10000000,verdict,cards"
	} >"$dir/organisations.csv"
	{
		echo "id,default_version,bytes_per_token,load_cap"
		echo "verdict,v1,${BYTES_PER_TOKEN:-1024},3"
	} >"$dir/models.csv"
	{
		echo "id,kind,address,failure_domain,model,version,service,checks_fencing,repeatable,capacity"
		for ((i = 1; i <= engines; i++)); do
			address=ADDR_e$i
			echo "engine-$i,engine,${!address},conche,verdict,,,true,false,8"
		done
		for ((i = 1; i <= services; i++)); do
			address=ADDR_s$i
			echo "service-$i,service,${!address},temper,,,cards,false,false,8"
		done
	} >"$dir/targets.csv"
	{
		echo "id,address,failure_domain,link_bytes_per_sec"
		for ((i = 1; i <= stores; i++)); do
			address=ADDR_st$i
			echo "store-$i,${!address},pack,1000000000"
		done
	} >"$dir/stores.csv"
}

# start_cluster starts all stand-ins, writes the table and starts three daemons. Each
# engine has an IP number of its own, as VMs have, so that the VM list can tell them apart.
start_cluster() {
	local i
	start_standin kv kv
	start_standin vmlist vmlist
	for i in 1 2 3; do
		start_standin "e$i" engine --listen "127.0.0.$i:0" --seed "${SEED:-1}" \
			--model verdict --version v1 --time-scale "${TIME_SCALE:-0.1}" \
			--blocks "${BLOCKS:-400}" --kv-per-token "${BYTES_PER_TOKEN:-1024}" --checks-epoch
	done
	start_standin s1 service
	start_standin s2 service
	start_standin st1 store
	start_standin st2 store
	write_rows "$WORK/rows" 3 2 2
	"$BIN/bluebellctl" table apply --kv "$ADDR_kv" "$WORK/rows" >"$WORK/apply.log"
	start_daemon d1 conche ""
	start_daemon d2 temper "$PEER_d1"
	start_daemon d3 pack "$PEER_d1"
	"$BIN/bluebellctl" table wait --kv "$ADDR_kv" "$PEER_d1" "$PEER_d2" "$PEER_d3" >"$WORK/wait.log"
}
