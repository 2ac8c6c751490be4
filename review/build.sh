#!/bin/sh
# The stand-ins use only Python's standard library; this compiles them once and
# checks that the project's build for the deploy file is there.
set -eu
cd "$(dirname "$0")/.."
python3 -m py_compile review/lab.py review/[0-9]/case.py
if [ ! -d target/deps/siskinpass ]; then
  echo 'review: run the build of deploy/system.toml first' >&2
  exit 1
fi
