#!/usr/bin/env bash
# Checks that the stand-ins compile and find the libraries of the deploy file's
# build; they need nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'PY'
import pathlib
for path in sorted(pathlib.Path("review").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
PY
PYTHONPATH=target/deps python3 -c "import gevent.pywsgi, geventhttpclient"
