#!/usr/bin/env bash
# Checks that the stand-ins of the cases 11 to 15 start. They are Python modules
# of this repository, which use what the build of the deploy file installed.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:. PYTHONDONTWRITEBYTECODE=1 python3 - <<'PY'
import bench.fleet
import siskinpass
import standins.fleet
import standins.http_server

assert 'target/deps' in siskinpass.__file__, siskinpass.__file__
PY
