"""Divides a whole among those who want a part of it, in whole numbers.

Max-min: everybody gets what it wants, or an equal level where that is too much; what nobody wants is spread
evenly, so that a share is there before the demand is.  The parts never sum to more than the whole.
"""

from __future__ import annotations

from collections.abc import Hashable, Mapping
from typing import TypeVar

Key = TypeVar("Key", bound=Hashable)
FLOOR_PART = 8  # of an even part: so little is kept for somebody who wants nothing


def divide(whole: int, wants: Mapping[Key, int | None]) -> dict[Key, int]:
    """Parts of ``whole`` by who wants what; None is not known yet and counts as an even part.

    The order of ``wants`` is that of its keys' claims to what does not divide; give it sorted.
    """
    if not wants or whole <= 0:
        return dict.fromkeys(wants, 0)
    even = whole // len(wants)
    floor = even // FLOOR_PART
    wanted = {key: even if want is None else max(want, floor) for key, want in wants.items()}
    left = whole - sum(wanted.values())
    if left >= 0:
        each, over = divmod(left, len(wants))
        return {key: want + each + (place < over) for place, (key, want) in enumerate(wanted.items())}
    parts: dict[Key, int] = {}
    left = whole
    for place, key in enumerate(sorted(wanted, key=wanted.__getitem__)):  # the least wants first
        parts[key] = min(wanted[key], left // (len(wants) - place))
        left -= parts[key]
    return parts
