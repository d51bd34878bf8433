#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 6 to 10 start. It needs only the compiler and
# a header library of the deploy file's packages, and runs after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/second"
mkdir -p bin
for source in *.cpp; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "bin/${source%.cpp}" "$source"
done
