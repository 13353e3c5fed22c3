#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. Run it after the build of the deploy file, whose
# target/deps holds the project's own stand-in of the store.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps/cassiashore || { echo "run the build of the deploy file first" >&2; exit 1; }
python3 -m compileall -q review/stand
PYTHONPATH=review/stand python3 -c "import stand"
