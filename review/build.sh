#!/bin/sh
# The stand-ins use only Python's standard library; this compiles them once. The
# scripts also need what the build of deploy/system.toml puts under target/.
set -eu
cd "$(dirname "$0")/.."
python3 -m py_compile review/lab.py review/[0-9]/case.py
