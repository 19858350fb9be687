#!/bin/bash
# Runs a trial of REPORT.md, "Seen, but no case": trials/run.sh rolledback|outorders|upgradenews. Exit codes as for a case.
folder=$(cd "$(dirname "$0")" && pwd)
exec bash "$folder/../run-case.sh" "$folder" "${1:?which trial}"
