#!/usr/bin/env bash
# See claim.txt.
exec "$(dirname "$0")/../run_case_3.sh" 15 killed_leader
