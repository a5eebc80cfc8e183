# Shell functions that start one whole site on loopback: platform, back ends, nodes, configuration,
# load. Sourced after scripts/cluster.sh by scripts/demo.sh and scripts/process_test.sh.
#
# Callers set: nodes_per_site, load_seconds.

# start_site SITE ENGINE_PREFIX RELAY_PREFIX MODEL REGION ZONE... : platform, back ends and nodes.
start_site() {
  local site=$1 engines=$2 relays=$3 model=$4 region=$5
  shift 5
  local zones=("$@") zone_arguments=() server_arguments=() role_arguments=() i
  local roles=(prefill decode mixed)
  for i in $(seq 0 8); do
    zone_arguments+=(--zone "${zones[$((i / 3))]}")
    server_arguments+=(--server "$engines-server-$((i + 1))")
    role_arguments+=(--role "${roles[$((i % 3))]}")
  done
  start_standin "$site-kv" 1 kv
  start_standin "$site-machines" 1 machines --lag-ms 1000
  start_standin "$site-weights" 1 weights
  # Engines start as the fleet file wants them: otherwise the controller first loads the adapters,
  # one engine at a time, and a role change waits for its turn.
  local adapter_arguments=() adapter
  for adapter in $(sed -n 's/^    adapters: \[\(.*\)\]/\1/p' "examples/$site.yaml" | head -n 1 | tr -d ,); do
    adapter_arguments+=(--adapter "$adapter")
  done
  start_standin "$site-engines" 9 engine --count 9 --id-prefix "$engines" --model "$model" \
    --model-version v1 --region "$region" --weights "$(endpoints_of "$site-weights")" \
    "${adapter_arguments[@]}" "${zone_arguments[@]}" "${server_arguments[@]}" "${role_arguments[@]}"
  start_standin "$site-relays" 3 relay --count 3 --id-prefix "$relays"
  local kv machines seed=()
  kv=$(endpoints_of "$site-kv")
  machines=$(endpoints_of "$site-machines")
  for i in $(seq 1 "$nodes_per_site"); do
    start_node "$site-node-$i" --cluster "$site" --zone "${zones[$(((i - 1) % 3))]}" \
      --region "$region" --key-value-store "$kv" --machine-list "$machines" "${seed[@]}"
    seed=(--seeds "$(node_address "$site-node-1" peer_listen)")
    register_machine "$site" "$machines" "$i" "${zones[$(((i - 1) % 3))]}" "$region"
  done
}

# register_machine SITE MACHINES NUMBER ZONE REGION : tells the machine list of a node.
register_machine() {
  local name="$1-node-$3"
  curl -sf -o /dev/null -X PUT "http://$2/v1/machines/$name" -d "{\"name\":\"$name\",\"state\":\"live\",\"zone\":\"$4\",
    \"region\":\"$5\",\"peer_endpoint\":\"$(node_address "$name" peer_listen)\"}"
}

# fleet_file SITE ENGINE_PREFIX RELAY_PREFIX : the site's example with the addresses of this run.
fleet_file() {
  local site=$1 places=() i=0 address
  for address in $(endpoints_of "$site-engines"); do
    i=$((i + 1))
    places+=("$2-$i=$address")
  done
  i=0
  for address in $(endpoints_of "$site-relays"); do
    i=$((i + 1))
    places+=("$3-$i=$address")
  done
  place_engines "examples/$site.yaml" "${places[@]}" >"$work/$site.yaml"
}

# control SITE ARGUMENT... : the operators' command against the site's nodes.
control() {
  local site=$1 nodes=() i
  shift
  for i in $(seq 1 "$nodes_per_site"); do
    nodes+=(--node "$(node_address "$site-node-$i" operator_listen)")
  done
  "$bin/ochrespringctl" "${nodes[@]}" "$@" >>"$work/$site-control.out" 2>>"$work/$site-control.err"
}

# configure_site SITE ENGINE_PREFIX RELAY_PREFIX : applies the fleet file and waits for all nodes.
configure_site() {
  local i
  fleet_file "$@"
  eventually 60 control "$1" apply -f "$work/$1.yaml" || fail "$1: configuration not accepted"
  for i in $(seq 1 "$nodes_per_site"); do
    eventually 60 node_ready "$1-node-$i" || fail "$1-node-$i is not ready"
  done
}

# start_load SITE SEED KILLED_NODE : load against every node of the site, judged by its relays.
start_load() {
  local site=$1 arguments=() i address
  for i in $(seq 1 "$nodes_per_site"); do
    arguments+=(--endpoint "$(node_address "$site-node-$i" listen)")
  done
  arguments+=(--killed "$(node_address "$site-node-$3" listen)")
  for address in $(endpoints_of "$site-relays"); do
    arguments+=(--relay "$address")
  done
  start_process "$site-load" "$bin/ochrespring-bench" load "${arguments[@]}" \
    --workload "examples/load-$site.yaml" --seed "$2" --duration "$load_seconds" \
    --run-name "$site" --format json --quiet
}
