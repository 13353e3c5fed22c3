#!/bin/sh
# Builds the stand-ins of the cases. They are Python: the project's own stand-in of the store is
# installed by the build of the deploy file, and the ones in review/common need compiling only.
set -eu
cd "$(dirname "$0")/.."
if [ ! -d target/deps/cassiashore ]; then
  echo "run the build of deploy/system.toml first" >&2
  exit 2
fi
PYTHONPATH=target/deps python3 -m compileall -q review/common
