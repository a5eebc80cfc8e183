#!/usr/bin/env bash
# Checks format and clang-tidy on the project's own code. Usage: scripts/lint.sh BUILD_DIRECTORY
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build/release}
./scripts/format.sh --check
git ls-files 'src/*.cc' 'platform/*.cc' | grep -v '^src/generated/' |
  xargs -P "$(nproc)" -n 1 clang-tidy -p "$build" --quiet --extra-arg=-Wno-unknown-warning-option
echo "lint: clean"
