#!/usr/bin/env bash
# Searches for inputs that break what the gateway on the users' platform reads, a number of runs each from the committed
# corpora and with a fixed seed: the same verdict every time. About a minute. A find stays in build/fuzzing/finds; it is
# added to the corpus together with the mend.
# Usage: scripts/fuzz_gateway.sh [JOBS]
set -euo pipefail
cd "$(dirname "$0")/.."
jobs=${1:-$(nproc)}
targets=(store_entries node_messages node_datagrams)
declare -A runs=([store_entries]=25000 [node_messages]=600000 [node_datagrams]=60000)
cmake --preset fuzzing >/dev/null
cmake --build --preset fuzzing -j "$jobs" --target "${targets[@]/#/fuzz_}"
finds=build/fuzzing/finds
mkdir -p "$finds"
for target in "${targets[@]}"; do
  found=$(mktemp -d)
  "build/fuzzing/bin/fuzz_$target" -seed=1 -runs="${runs[$target]}" -max_len=4096 -timeout=20 -rss_limit_mb=2048 \
    -artifact_prefix="$finds/$target-" -print_final_stats=1 "$found" "src/fuzzing/corpus/$target" 2>&1 | tail -8
  rm -rf "$found"
done
