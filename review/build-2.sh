#!/bin/sh
# Prepares the stand-ins of cases 6 to 10. They are plain Python of the standard
# library, so that nothing is compiled; this checks that Python can read them.
cd "$(dirname "$0")" || exit 2
exec python3 -B - standins-2/*.py 6/play.py 7/play.py 8/play.py 9/play.py \
    10/play.py <<'PYTHON'
import ast
import pathlib
import sys

for name in sys.argv[1:]:
    ast.parse(pathlib.Path(name).read_text(encoding="utf-8"), name)
PYTHON
