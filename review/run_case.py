"""Runs a case: ``python run_case.py CASE``; exits with 2 if it can't even be loaded."""

from __future__ import annotations

import runpy
import sys
import traceback

NOT_RUN = 2

if __name__ == "__main__":
    try:
        runpy.run_path(sys.argv[1], run_name="__main__")
    except Exception:  # Python would exit with 1, which stands for a broken rule
        traceback.print_exc()
        sys.exit(NOT_RUN)
