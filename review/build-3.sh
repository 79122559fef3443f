#!/usr/bin/env bash
# Prepares what the scripts of the cases 11 to 15 start besides the programs of the deploy file: stand-ins in Python, in harness-3/, which
# need no build. Fails if they can't be used.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
python3 -c 'import sys; sys.exit(0 if sys.version_info >= (3, 8) else "Python 3.8 or later is needed")'
python3 -m py_compile harness-3/*.py 1[1-5]/case.py
rm -rf harness-3/__pycache__ 1[1-5]/__pycache__
