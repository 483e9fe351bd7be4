#!/usr/bin/env bash
# Regenerates the committed code from the schema. Needs protobuf-compiler and
# protobuf-compiler-grpc.
set -euo pipefail
cd "$(dirname "$0")"
protoc --proto_path=. --cpp_out=../generated --grpc_out=../generated \
  --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" operator.proto
