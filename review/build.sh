#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*.cpp; do
  program=target/review/$(basename "$source" .cpp)
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread -o "$program" "$source"
done
