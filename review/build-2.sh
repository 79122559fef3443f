#!/bin/sh
# The stand-ins of the cases 6 to 10 are in Python and use its standard library only, so nothing is compiled: this checks that they load.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 8), "python3 3.8 or later is needed"'
PYTHONDONTWRITEBYTECODE=1 python3 -c 'import sys; sys.path.insert(0, "harness-2"); import fleet; assert set(fleet.deploy_commands()) == {"entry", "agent"}'
echo "the stand-ins load"
