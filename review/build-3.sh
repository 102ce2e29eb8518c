#!/usr/bin/env bash
# Builds the programs of the third review's cases into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/standins-3/*.cpp; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "target/review-3/$(basename "$source" .cpp)"
done
