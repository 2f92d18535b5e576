#!/bin/sh
# Builds the stand-ins of the cases.  They use Python's standard library only, so they are just compiled.
cd "$(dirname "$0")" || exit 1
python="../.venv/bin/python"
[ -x "$python" ] || python="python3"
exec "$python" -m compileall -q .
