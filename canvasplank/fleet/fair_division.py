"""Divides a total fairly among demands, in whole numbers.

Max-min fairness: each gets its demand, or an equal level where the demands sum to more than the total; what
nobody demands is spread evenly, so that a share is there before its demand is.  Quotas never sum to more than
the total.
"""

from __future__ import annotations

from collections.abc import Hashable, Mapping
from typing import TypeVar

Key = TypeVar("Key", bound=Hashable)
FLOOR_DIVISOR = 8  # an idle one gets an even quota divided by this, so that its first set-ups need not wait


def divide(total: int, demands: Mapping[Key, int | None]) -> dict[Key, int]:
    """Quotas of ``total`` by demand; a demand of None is not known yet and counts as an even quota.

    A remainder goes to the first keys of ``demands``: give it sorted where the result must not depend on the
    order of arrival.
    """
    if not demands or total <= 0:
        return dict.fromkeys(demands, 0)
    even = total // len(demands)
    floor = even // FLOOR_DIVISOR
    claims = {key: even if demand is None else max(demand, floor) for key, demand in demands.items()}
    surplus = total - sum(claims.values())
    if surplus >= 0:
        each, remainder = divmod(surplus, len(claims))
        return {key: claim + each + (place < remainder) for place, (key, claim) in enumerate(claims.items())}
    quotas: dict[Key, int] = {}
    undivided = total
    for place, key in enumerate(sorted(claims, key=claims.__getitem__)):  # the smallest claim first
        quotas[key] = min(claims[key], undivided // (len(claims) - place))
        undivided -= quotas[key]
    return quotas
