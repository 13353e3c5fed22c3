#!/bin/sh
# Runs the case of a folder: sh review/common/run_case.sh review/N
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
case_folder=$(cd "$1" && pwd) || exit 2
cd "$(dirname "$0")/../.." || exit 2
export PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:review/common
if ! python3 -c "import cassiashore.platform.standin, place"; then
  echo "the case could not run: run the build of deploy/system.toml and review/build.sh first" >&2
  exit 2
fi
timeout -k 5 112 python3 "$case_folder/case.py" "$case_folder"
result=$?
[ "$result" -le 1 ] || exit 2
exit "$result"
