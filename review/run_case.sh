#!/usr/bin/env bash
# Runs a case: run_case.sh FOLDER PROGRAM. Starts the daemons as the deploy file does, with settings
# of their own, and the stand-in program, which judges. Exit status: 0 the rule held, 1 it was
# broken, 2 the case could not run.
set -u
folder=$(cd "$1" && pwd)
cd "$folder/../.."
program=target/review/$2
[ -x "$program" ] && [ -x target/sycamorestall ] || { echo "not built" >&2; exit 2; }
scratch=$(mktemp -d) || exit 2
daemons=()
finish() {
  for pid in "${daemons[@]}"; do kill -KILL "$pid" 2>/dev/null; done
  wait 2>/dev/null
  rm -rf "$scratch"
}
trap finish EXIT
"$program" prepare "$scratch" || exit 2
for settings in "$scratch"/*.toml; do
  SYCAMORESTALL_CONFIG=$settings target/sycamorestall route >"$settings.log" 2>&1 &
  daemons+=($!)
done
"$program" run "$scratch" "$folder/record.txt" "${daemons[@]}"
status=$?
[ -n "${KEEP_LOGS:-}" ] && cp "$scratch"/*.log "$KEEP_LOGS"/
[ "$status" -le 1 ] || status=2
exit "$status"
