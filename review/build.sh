#!/bin/sh
# The stand-ins are Python programs and need no build: this checks that they can be read, and that what they import is there.
cd "$(dirname "$0")" || exit 1
python3 -B -c '
import sys
sys.path[:0] = ["standins", "../platform/tests/soak"]
sys.dont_write_bytecode = True
import fault_proxy, small_http, store_standin, executor, fleet
'
