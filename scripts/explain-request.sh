#!/usr/bin/env bash
# Collects the lines of one request from the logs of all nodes, in the order of their time.
# Usage: scripts/explain-request.sh REQUEST-ID LOG-FILE...
set -euo pipefail
if [ "$#" -lt 2 ]; then
  echo "usage: $0 REQUEST-ID LOG-FILE..." >&2
  exit 2
fi
id=$1
shift
grep -hF "\"request_id\":\"$id\"" "$@" |
  jq -r '[.time, .message, (.backend // ""), (.detail // .outcome // ""), (.configuration // "" | tostring)] | @tsv' |
  sort | column -t -s $'\t'
