#!/bin/sh
# Runs the case of a folder: sh review/common/run_case.sh review/N
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
case_folder=$(cd "$1" && pwd)
cd "$(dirname "$0")/../.." || exit 2
[ -d target/deps/cassiashore ] || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:review/common \
  exec timeout -k 5 115 python3 "$case_folder/case.py" "$case_folder"
