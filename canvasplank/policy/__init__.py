"""All decisions of the call controller, around one multi-priority leaky bucket per server.

The types, events, actions and settings are in ``canvasplank/interface.py``; read that first.  Special cases
are marked "Exception (name)"; ``docs/design.md`` lists when each applies and why.
"""

from canvasplank.policy.controller import Controller as Controller
