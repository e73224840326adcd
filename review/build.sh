#!/usr/bin/env bash
# The stand-ins are Python modules of this folder and need no build: checks that they
# compile, and that the packages of the deploy file are there for the gateways.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps python3 - review/rig.py review/*/case.py <<'EOF'
import sys
from pathlib import Path

import absl, httptools, msgspec, prometheus_client, transitions, xxhash  # noqa: E401

for name in sys.argv[1:]:
    compile(Path(name).read_text(), name, "exec")
EOF
