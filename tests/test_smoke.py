"""The README's library example runs and prints the output that its comment shows."""

import contextlib
import io
import re
from pathlib import Path

ROOT = Path(__file__).parent.parent


def test_the_example_of_the_readme_runs():
    source = re.search(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S).group(1)
    printed = io.StringIO()
    with contextlib.redirect_stdout(printed):
        exec(compile(source, "README.md", "exec"), {})
    lines = printed.getvalue().splitlines()
    assert lines[0].startswith("SetUp(call_id='call-1', server_id='core-a', timeout_ms=")
    assert lines[1].startswith("SetTimer(") and lines[2:] == ["[]"] * 3
