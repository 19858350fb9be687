#!/bin/bash
# Runs one trial of the second review: run.sh refusedcall or run.sh slowread. Exit codes as those of the cases.
exec "$(dirname "$0")/../run-case-2.sh" "$(cd "$(dirname "$0")" && pwd)" "${1:?refusedcall or slowread}"
