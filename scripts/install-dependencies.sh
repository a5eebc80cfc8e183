#!/usr/bin/env bash
# Installs every Debian 12 package the project builds, tests and checks with.
# Run as root, or as a user who may use sudo. Repeating it is harmless.
set -euo pipefail

packages=(
  g++ make cmake ninja-build ccache pkg-config git
  clang clang-format clang-tidy libclang-rt-14-dev
  libh2o-evloop-dev libssl-dev zlib1g-dev openssl
  libgrpc++-dev libprotobuf-dev protobuf-compiler protobuf-compiler-grpc
  libboost-dev libboost-serialization-dev
  libcli11-dev libgoogle-glog-dev nlohmann-json3-dev libyaml-cpp-dev
  prometheus-cpp-dev libxxhash-dev
  doctest-dev librapidcheck-dev libbenchmark-dev
  gnuplot-nox python3
  curl jq bsdextrautils
)

missing=()
for package in "${packages[@]}"; do
  if ! dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed'; then
    missing+=("$package")
  fi
done
if [ "${#missing[@]}" -eq 0 ]; then
  echo "all dependencies are installed"
  exit 0
fi

as_root=()
if [ "$(id -u)" -ne 0 ]; then
  as_root=(sudo)
fi
"${as_root[@]}" apt-get update -q
DEBIAN_FRONTEND=noninteractive "${as_root[@]}" apt-get install -y -q --no-install-recommends "${missing[@]}"
