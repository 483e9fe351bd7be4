#!/usr/bin/env bash
# Installs the Debian packages that the build, the checks and the tests need;
# does nothing if all of them are installed.
set -euo pipefail
packages=(
  g++ cmake ninja-build make pkg-config curl
  libboost-dev libwebsocketpp-dev nlohmann-json3-dev libyaml-cpp-dev
  libcxxopts-dev libtomlplusplus-dev liblog4cplus-dev libgrpc++-dev libprotobuf-dev libssl-dev
  protobuf-compiler protobuf-compiler-grpc
  catch2 libtrompeloeil-cpp-dev librapidcheck-dev rumur
  clang-format clang-tidy
)
missing=()
for package in "${packages[@]}"; do
  dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
