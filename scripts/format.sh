#!/usr/bin/env bash
# Formats the project's own C++ files in place; with --check only reports.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(-i)
if [ "${1:-}" = "--check" ]; then
  mode=(--dry-run -Werror)
fi
git ls-files -co --exclude-standard 'src/*.h' 'src/*.cc' 'platform/*.h' 'platform/*.cc' | grep -v '^src/generated/' |
  xargs -P "$(nproc)" -n 8 clang-format "${mode[@]}"
