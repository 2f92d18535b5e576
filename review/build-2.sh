#!/bin/sh
# The stand-ins of cases 6 to 10 are Python files that need the standard library alone: they are compiled
# here, so that one that cannot be read shows at once.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python - <<'END'
import pathlib

for name in ["run_case.py", "standins_2.py", "6/bad_clients.py", *(f"{number}/case.py" for number in range(6, 11))]:
    path = pathlib.Path("review", name)
    compile(path.read_text(), str(path), "exec")
END
