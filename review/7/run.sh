#!/bin/bash
# An upgrade with an open write, and a bad client that uses its id: 10 seconds at most.
exec "$(dirname "$0")/../run-case-2.sh" "$(cd "$(dirname "$0")" && pwd)" sameid
