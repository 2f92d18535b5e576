"""``python -m canvasplank`` runs the proxy; with arguments it runs the command line."""

from __future__ import annotations

import sys

from canvasplank.runtime import signals


def main() -> int:
    """Run the proxy, or the command line, which is imported only when it is used."""
    if len(sys.argv) > 1:
        from canvasplank.cli import cli

        cli(prog_name="canvasplank")
    # Before the slow imports: until handlers are set, SIGHUP would end the process by default.
    signals.block()
    from canvasplank.program import serve

    return serve()


if __name__ == "__main__":
    sys.exit(main())
