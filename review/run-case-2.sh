#!/bin/bash
# Runs one case of the second review: run-case-2.sh FOLDER SUBCOMMAND. Exit code 1: the rule was broken, 0: it held, 2: the case could not run.
set -u
folder=$1
root=$(cd "$folder/../.." && pwd)
rig="$root/review/bin/rig2"
[ -x "$rig" ] && [ -x "$root/bin/streamrail" ] || { echo "build the deploy file and run review/build-2.sh first" >&2; exit 2; }
run=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' "$root/deploy/balancer.toml")
[ -n "$run" ] || { echo "no run command in deploy/balancer.toml" >&2; exit 2; }
work=$(mktemp -d) || exit 2
RIG_RUN="$run" RIG_ROOT="$root" RIG_WORK="$work" RIG_RECORD="$folder/record.txt" "$rig" "$2" &
child=$!
trap 'kill "$child" 2>/dev/null; wait "$child"; rm -rf "$work"; exit 2' INT TERM
wait "$child"
code=$?
rm -rf "$work"
case $code in 0 | 1) exit "$code" ;; *) exit 2 ;; esac
