"""``python -m canvasplank`` serves; with arguments it is the command line."""

from __future__ import annotations

import sys

from canvasplank.runtime import signals


def main() -> int:
    """Serve, or run the command line, which a serving proxy does not import."""
    if len(sys.argv) > 1:
        from canvasplank.cli import cli

        cli(prog_name="canvasplank")
    # Before the long imports: the default action of SIGHUP would end the process.
    signals.block()
    from canvasplank.program import serve

    return serve()


if __name__ == "__main__":
    sys.exit(main())
