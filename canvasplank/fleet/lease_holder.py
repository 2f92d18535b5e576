"""What this proxy may use of each budget now, and what it asks of the store next.

No I/O and no clock: every call is told the time on a clock that is never set and goes on while the machine
sleeps.  A share is used less before that is said, and more only once the newest request's answer is here.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from canvasplank.fleet.state import Answer, Holding, Request, Sign

NEVER = float("-inf")


@dataclass(frozen=True, slots=True)
class Terms:
    """One budget, as this proxy's file has it; rates in thousandths of a unit a second."""

    whole: int
    reserve: int
    most: int  # proxies that there may be

    @property
    def own_part(self) -> int:
        """Of what is kept back, this proxy's: it may use that always."""
        return self.reserve // self.most


@dataclass(frozen=True, slots=True)
class Lease:
    """How long a share may be used, and how much clocks and pauses are trusted."""

    lease_ms: float
    margin_ms: float  # between the last look at the clock and the use, at each end
    drift: float  # the most that a steady clock may gain or lose, as a part

    def usable_ms(self) -> float:
        """After a request was sent: so long its answer may be used."""
        return self.lease_ms * (1 - self.drift) - self.margin_ms

    def over_ms(self, theirs_ms: float) -> float:
        """After a row was first seen: unchanged for so long, nobody uses it any more.

        Guards, with the lease that the row itself names, a proxy whose file has a longer one than ours.
        """
        return max(self.lease_ms, theirs_ms) * (1 + self.drift) + self.margin_ms


class Holder:
    """One proxy's side of all budgets."""

    def __init__(self, name: str, terms: Mapping[str, Terms], lease: Lease, most: int | None = None) -> None:
        """``most``: proxies that there may be, for one that holds no budgets."""
        self.name, self.terms, self._lease = name, dict(terms), lease
        self._most = most or min(each.most for each in terms.values())
        self.incarnation: int | None = None
        self.until_ms = NEVER  # so long the shares may be used
        self._seq = 0
        self._sent_ms = NEVER
        self._using = dict.fromkeys(terms, 0)
        self._target = dict.fromkeys(terms, 0)

    def allowance(self, budget: str, now_ms: float) -> int:
        """What it may use now: its part of what is kept back, and its share while the lease runs."""
        return self.terms[budget].own_part + self.share(budget, now_ms)

    def share(self, budget: str, now_ms: float) -> int:
        """The leased part of that."""
        return self._using[budget] if now_ms < self.until_ms else 0

    def using(self, budget: str) -> int:
        """The leased part as it was granted, whether or not the lease still runs."""
        return self._using[budget]

    def short(self) -> bool:
        """Whether it should have more, which others are to let go of."""
        return any(self._using[budget] < self._target[budget] for budget in self.terms)

    def request(
        self,
        now_ms: float,
        demands: Mapping[str, int | None],
        dead: Iterable[Sign] = (),
        *,
        leaving: bool = False,
    ) -> Request:
        """The next one; nothing that was sent before it counts any more.

        ``now_ms`` must be read before anything of it is sent: the lease runs from there.
        """
        self._seq += 1
        self._sent_ms = now_ms
        if leaving:
            self._let_go()
        using = {
            budget: Holding(terms.whole, terms.reserve, self._using[budget], demands.get(budget))
            for budget, terms in self.terms.items()
        }
        return Request(
            self.name,
            self.incarnation,
            self._seq,
            self._most,
            self._lease.lease_ms,
            using,
            tuple(dead),
            leaving,
        )

    def answered(self, answer: Answer) -> bool:
        """Take an answer; False: it is not that of the newest request and tells nothing."""
        if answer.seq != self._seq:
            return False
        if answer.incarnation is None:
            self.incarnation = None
            self._let_go()
            return True
        self.incarnation = answer.incarnation
        self.until_ms = self._sent_ms + self._lease.usable_ms()
        for budget, grant in answer.grants.items():
            self._target[budget] = grant.target
            # What it should let go of it uses no more from here on, and says so with the next request.
            self._using[budget] = min(grant.share, grant.target)
        return True

    def owes(self, answer: Answer) -> bool:
        """Whether the answer's shares are more than it uses now: others may be waiting for the rest."""
        return any(grant.share > grant.target for grant in answer.grants.values())

    def _let_go(self) -> None:
        self.until_ms = NEVER
        self._using = dict.fromkeys(self.terms, 0)
