"""``python -m canvasplank`` serves; with arguments it is the command line."""

from __future__ import annotations

import sys

from canvasplank.runtime import signals


def main() -> int:
    """Serve; the command line is not even imported by a serving proxy."""
    if len(sys.argv) > 1:
        from canvasplank.cli import cli

        cli(prog_name="canvasplank")
    # Before the long imports: guards a start against SIGHUP, whose default action ends a process.
    signals.block()
    from canvasplank.program import serve

    return serve()


if __name__ == "__main__":
    sys.exit(main())
