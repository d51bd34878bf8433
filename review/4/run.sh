#!/usr/bin/env bash
exec "$(dirname "$0")/../standin/run_case.sh" "$(dirname "$0")" silent_store
