"""Every decision of the call controller: one multi-priority leaky bucket per server, and what guards it.

The types, events, actions and settings are in ``canvasplank/interface.py``; read that first.  ``_gate`` is
the one place through which every set-up leaves, and it checks the five rules.  Time acts through one timer:
``_due`` names the next instant at which something can change, ``_look`` is what happens then.

The ordinary path is the bucket test, thresholds that rise with worth, the rate rule and the route rule.  What
departs from it is marked "Exception"; ``docs/design.md`` says when each acts and what it guards against.
"""

from canvasplank.policy.controller import Controller as Controller
