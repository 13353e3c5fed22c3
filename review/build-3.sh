#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. Run it after the build of the deploy file, whose
# target/deps holds the project's own stand-in of the store.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps/cassiashore || { echo "run the build of the deploy file first" >&2; exit 1; }
python3 -m compileall -q review/support-3
PYTHONPATH=review/support-3 python3 -c "import small_deployment"
