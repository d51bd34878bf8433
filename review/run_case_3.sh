#!/usr/bin/env bash
# Runs a script case of the third review: run_case_3.sh FOLDER PROGRAM. Exits with 1 if the rule was
# broken, 0 if it held, 2 if the case could not run.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/.." || exit 2
folder=review/$1
program=target/review-3/$2
if [ ! -x target/sycamorestall ] || [ ! -x "$program" ]; then
  echo "build the deploy file and review/build-3.sh first"
  exit 2
fi
temporary=$(mktemp -d) || exit 2
timeout -k 2 115 "$program" "$folder" "$temporary"
status=$?
if [ "$status" -ne 0 ] && [ "$status" -ne 1 ]; then
  # Why it could not run.
  tail -n 5 "$temporary"/*.log
fi
rm -rf "$temporary"
case $status in
  0 | 1) exit "$status" ;;
  *) exit 2 ;;
esac
