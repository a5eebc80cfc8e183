#!/usr/bin/env bash
# Builds the gateway of a commit into a scratch folder and prints the program's path: for a fleet of two builds.
# Usage: scripts/build_gateway_of.sh COMMIT [DIRECTORY]
set -euo pipefail
cd "$(dirname "$0")/.."
commit=$(git rev-parse --verify "$1^{commit}")
directory=${2:-build/gateway-of/$commit}
program=$directory/build/bin/ochrespring-gateway
if [ ! -x "$program" ]; then
  mkdir -p "$directory/source"
  git archive "$commit" -- . ':!journal' | tar -x -C "$directory/source"
  cmake -S "$directory/source" -B "$directory/build" -G Ninja -DCMAKE_BUILD_TYPE=Release \
    -DOCHRESPRING_GATEWAY_ONLY=ON >&2
  cmake --build "$directory/build" --target ochrespring-gateway >&2
fi
echo "$program"
