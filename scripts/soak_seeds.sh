#!/usr/bin/env bash
# Many soaks, each with its own seed and ports, some at a time; prints each one's outcome and counts those that failed.
# Their ports lie above those that a single soak draws, so that one may run beside; four jobs at most.
# Usage: scripts/soak_seeds.sh BUILD_DIRECTORY FIRST_SEED COUNT JOBS [SOAK-ARGUMENT...]
set -euo pipefail
cd "$(dirname "$0")/.."
program=$1/bin/ochrespring-gateway
first=$2 count=$3 jobs=$4
shift 4
export program
run_one() {
  local seed=$1
  shift
  if python3 platform/soak/soak.py --program "$program" --seed "$seed" --first-port $((25000 + SLOT * 1800)) "$@" 2>&1; then
    echo "seed $seed: passed"
  else
    echo "seed $seed: FAILED"
  fi
}
export -f run_one
results=$(mktemp)
trap 'rm -f "$results"' EXIT
seq "$first" $((first + count - 1)) |
  xargs -P "$jobs" -I{} --process-slot-var=SLOT bash -c 'run_one "$@"' run_one {} "$@" | tee "$results"
failed=$(grep -c ': FAILED$' "$results" || true)
echo "$((count - failed)) of $count seeds passed"
[ "$failed" -eq 0 ]
