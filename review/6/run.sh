#!/bin/bash
# A planned restart while half of the cache hosts hang, and a client that sends many commands at once: 10 seconds at most.
exec "$(dirname "$0")/../run-case-2.sh" "$(cd "$(dirname "$0")" && pwd)" pipeline
