#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 6 to 10 start, into target/review-2/. It needs
# only the compiler and a header library of the deploy file's packages, and runs after the build of
# the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/{6,7,8,9,10}/*.cpp; do
  program=target/review-2/$(basename "$source" .cpp)
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread -o "$program" "$source"
done
