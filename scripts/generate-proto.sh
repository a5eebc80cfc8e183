#!/usr/bin/env bash
# Regenerates src/generated from proto/. The result is committed, so the build needs no generator.
# With --check, only reports whether the committed code is current.
set -euo pipefail
cd "$(dirname "$0")/.."
output=src/generated
if [ "${1:-}" = "--check" ]; then
  output=$(mktemp -d)
  trap 'rm -rf "$output"' EXIT
fi
mkdir -p "$output"
protoc --proto_path=proto --cpp_out="$output" --grpc_out="$output" \
  --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" proto/ochrespring/v1/*.proto
# Files without services get empty gRPC parts.
rm -f "$output"/ochrespring/v1/{resources,errors}.grpc.pb.{h,cc}
if [ "${1:-}" = "--check" ]; then
  diff -r "$output/ochrespring" src/generated/ochrespring
  echo "generated code is current"
fi
