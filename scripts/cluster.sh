# Shell functions that start, watch and end a small cluster on loopback. Sourced by scripts/demo.sh
# and scripts/process_test.sh. Every process is ended by its own id.
#
# Callers set: bin (directory of the programs), work (scratch directory).

declare -A process_ids=()

# start_process NAME PROGRAM ARGUMENT... : runs it with output in $work/NAME.{out,err}.
start_process() {
  local name=$1
  shift
  "$@" >"$work/$name.out" 2>"$work/$name.err" &
  process_ids[$name]=$!
}

# stop_process NAME SIGNAL : signals one process started here.
stop_process() {
  kill "-$2" "${process_ids[$1]}" 2>/dev/null || true
}

# wait_process NAME : waits for its end and returns its exit code.
wait_process() {
  local code=0
  wait "${process_ids[$1]}" || code=$?
  unset "process_ids[$1]"
  return "$code"
}

# end_all_processes : for the EXIT trap; asks first, then ends what is left.
end_all_processes() {
  local name
  for name in "${!process_ids[@]}"; do
    kill -CONT "${process_ids[$name]}" 2>/dev/null || true
    kill -KILL "${process_ids[$name]}" 2>/dev/null || true
  done
  for name in "${!process_ids[@]}"; do
    wait "${process_ids[$name]}" 2>/dev/null || true
  done
}

# finish_run NAME : for the EXIT trap: ends everything; when something went wrong, what the processes
# wrote is kept in build/NAME-logs.
finish_run() {
  local code=$?
  end_all_processes
  if [ "$code" -ne 0 ]; then
    rm -rf "build/$1-logs"
    cp -r "$work" "build/$1-logs"
    echo "the processes' output is kept in build/$1-logs" >&2
  fi
  rm -rf "$work"
}

# eventually SECONDS COMMAND... : repeats the command until it succeeds; fails when time is up.
eventually() {
  local deadline=$((SECONDS + $1))
  shift
  until "$@"; do
    if ((SECONDS >= deadline)); then
      return 1
    fi
    sleep 0.1
  done
}

# fail MESSAGE : ends the script, with what the processes last wrote on standard error.
fail() {
  echo "error: $1" >&2
  tail -n 5 "$work"/*.err >&2 || true
  exit 1
}

# endpoints_of NAME : addresses a stand-in process printed, one a line.
endpoints_of() {
  jq -r '.endpoint' "$work/$1.out"
}

has_endpoints() {
  [ "$(grep -c endpoint "$work/$1.out" 2>/dev/null)" = "$2" ]
}

# start_standin NAME COUNT ARGUMENT... : starts it and waits for COUNT addresses.
start_standin() {
  local name=$1 count=$2
  shift 2
  start_process "$name" "$bin/ochrespring-standin" "$@"
  eventually 20 has_endpoints "$name" "$count" || fail "$name did not start"
}

# node_address NAME FIELD : an address a node logged when it began to listen.
node_address() {
  grep -h '"listening"' "$work/$1.err" "$work/$1.out" 2>/dev/null | head -n 1 | jq -r ".$2"
}

node_listens() {
  [ -n "$(node_address "$1" listen)" ]
}

# start_node NAME ARGUMENT... : starts it and waits until it listens.
start_node() {
  local name=$1
  shift
  start_process "$name" "$bin/ochrespringd" --node "$name" "$@"
  eventually 20 node_listens "$name" || fail "$name did not start"
}

node_ready() {
  curl -sf -o /dev/null "http://$(node_address "$1" admin_listen)/readyz"
}

# set_faults ADDRESS JSON : changes the faults of a stand-in.
set_faults() {
  curl -sf -o /dev/null -X PUT "http://$1/faults" -d "$2"
}

# place_engines FILE ID=ADDRESS... : prints a fleet file with the engines at these addresses.
place_engines() {
  local file=$1
  shift
  awk -v places="$*" '
    BEGIN { n = split(places, parts, " "); for (i = 1; i <= n; i++) { split(parts[i], p, "="); at[p[1]] = p[2] } }
    $1 == "-" && $2 == "id:" { id = $3 }
    $1 == "endpoint:" && (id in at) { sub(/endpoint:.*/, "endpoint: " at[id]) }
    { print }' "$file"
}
