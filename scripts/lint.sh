#!/usr/bin/env bash
# Checks format and clang-tidy on the project's own code. Usage: scripts/lint.sh BUILD_DIRECTORY [--gate]
# --gate checks only the folders that are clean, as CI does; the others still have findings.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build/release}
clean='platform|src/(admission|admission_queue|discovery|duties|engine_profiles|fleet_control|gateway|gateway_node|http|links|logging|peer_load|process|quarantine|rate_limit|settings|stream_records|usage)'
pattern='^(platform|src)/'
if [ "${2:-}" = "--gate" ]; then
  pattern="^($clean)/[a-z_]+[.]cc\$"
fi
./scripts/format.sh --check
# A clock that stands still while a machine is suspended breaks leases and bounds: only SystemClock reads one.
if git ls-files | grep -E "^($clean)/[a-z_]+[.](cc|h)\$" |
  xargs grep -nE 'steady_clock|system_clock::now|CLOCK_[A-Z]+|gettimeofday'; then
  echo "lint: clocks are read in src/base/time.cc only" >&2
  exit 1
fi
git ls-files 'src/*.cc' 'platform/*.cc' | grep -v '^src/generated/' | grep -E "$pattern" |
  xargs -P "$(nproc)" -n 1 clang-tidy -p "$build" --quiet --extra-arg=-Wno-unknown-warning-option
echo "lint: clean"
