#!/usr/bin/env bash
# Builds the programs of the cases into target/review/, after the build of the
# deploy file. They need only Boost's and nlohmann's headers.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../target/review
for source in standins/*.cpp; do
  "${CXX:-g++}" -std=c++20 -O1 "$source" \
    -o "../target/review/$(basename "$source" .cpp)" -pthread
done
