"""Max-min fair division of a total among demands, in integers.

If the demands sum to more than the total, each quota is the demand, but at most a common level.  Otherwise
each quota is the demand plus an even part of the surplus, so that a share is granted before it is demanded.
Quotas never sum to more than the total.
"""

from __future__ import annotations

from collections.abc import Hashable, Mapping
from typing import TypeVar

Key = TypeVar("Key", bound=Hashable)
FLOOR_DIVISOR = 8  # the floor is an even quota divided by this: an idle member's first set-ups need not wait


def divide(total: int, demands: Mapping[Key, int | None]) -> dict[Key, int]:
    """Return the quotas of ``total``; a demand of None is not known yet and counts as an even quota.

    Units that cannot be divided evenly are assigned by the order of ``demands``.  Callers sort ``demands`` if
    the result must not depend on the order in which members joined.
    """
    if not demands or total <= 0:
        return dict.fromkeys(demands, 0)
    even = total // len(demands)
    floor = even // FLOOR_DIVISOR
    claims = {key: even if demand is None else max(demand, floor) for key, demand in demands.items()}
    surplus = total - sum(claims.values())
    if surplus >= 0:
        each, remainder = divmod(surplus, len(claims))
        return {key: claim + each + (index < remainder) for index, (key, claim) in enumerate(claims.items())}
    quotas: dict[Key, int] = {}
    undivided = total
    for index, key in enumerate(sorted(claims, key=claims.__getitem__)):  # the smallest claim first
        quotas[key] = min(claims[key], undivided // (len(claims) - index))
        undivided -= quotas[key]
    return quotas
