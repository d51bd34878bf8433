#!/usr/bin/env bash
# Builds the programs of the third review's script cases into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/1[1-5]/*.cpp; do
  [ -e "$source" ] || continue
  name=$(basename "$source" .cpp)
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review-3/$name" "$source"
done
