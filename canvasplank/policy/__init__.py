"""Every decision of the call controller: one multi-priority leaky bucket per server, and what protects it.

The types, events, actions and settings are in ``canvasplank/interface.py``; read that first.  What departs
from the ordinary path is marked "Exception (name)": ``docs/design.md`` says when it acts and why.
"""

from canvasplank.policy.controller import Controller as Controller
