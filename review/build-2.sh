#!/usr/bin/env bash
# Builds the stand-ins of the cases in review/6 to review/10, after the build
# of the deploy file. They need the compiler and nlohmann/json only, which that
# build needs too.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standins-2/*.cpp; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread \
    -o "target/review-2/$(basename "$source" .cpp)" "$source"
done
