"""The configuration of budgets and of their store: a TOML file that ``CANVASPLANK_FLEET`` names."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from canvasplank.config.extension_file import load_extension_settings
from canvasplank.database.location import check_location
from canvasplank.fleet.backend import Backend
from canvasplank.fleet.budget_limiter import BudgetKind, BudgetScope
from canvasplank.fleet.lease_holder import BudgetLimits, Lease

Milliseconds = Annotated[float, msgspec.Meta(gt=0, le=600_000)]
THOUSANDTHS = 1000  # of a unit, in which rates are divided and leased


class Budget(msgspec.Struct, forbid_unknown_fields=True):
    """A rate, in units a second, that all proxies may use together."""

    name: Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
    kind: BudgetKind
    total_per_s: Annotated[float, msgspec.Meta(gt=0, le=1_000_000)] = msgspec.field(name="whole_per_s")
    subject: str = msgspec.field(name="of", default="")  # the member's name, or the server's instanceId
    # Of the total, reserved for proxies without a lease.
    reserve_fraction: Annotated[float, msgspec.Meta(ge=0, le=1)] = msgspec.field(
        name="kept_back", default=0.1
    )


class FleetSettings(msgspec.Struct, forbid_unknown_fields=True):
    """The configuration of the fleet's coordination."""

    backend: Literal["sqlite", "postgresql"]
    # Processes that may run at once, those that hang included.
    max_members: Annotated[int, msgspec.Meta(ge=1, le=10_000)] = msgspec.field(name="proxies_most")
    budget: list[Budget]
    path: str = ""  # sqlite: the file
    dsn: str = ""  # postgresql: postgresql://user@host:port/database; the password comes from PGPASSWORD
    lease_ms: Milliseconds = 3_000.0
    renew_ms: Milliseconds = 1_000.0
    request_ms: Milliseconds = 1_000.0  # a request to the store is given up after this time
    margin_ms: Milliseconds = 100.0  # see ``Lease``
    drift: Annotated[float, msgspec.Meta(ge=0, le=0.1)] = 0.001  # see ``Lease``
    burst_ms: Milliseconds = 250.0  # the tokens of so long an allowance may be saved up
    trace: bool = False  # log an event for each unit spent, for experiments

    def lease(self) -> Lease:
        """The lease of a share, as configured."""
        return Lease(self.lease_ms, self.margin_ms, self.drift)

    def budget_limits(self) -> dict[str, BudgetLimits]:
        """Each budget's limits by its name, in thousandths of a unit a second."""
        return {
            each.name: BudgetLimits(
                int(each.total_per_s * THOUSANDTHS),
                int(each.total_per_s * each.reserve_fraction * THOUSANDTHS),
                self.max_members,
            )
            for each in self.budget
        }

    def scopes(self) -> dict[str, BudgetScope]:
        """The set-ups that each budget covers, by its name."""
        return {each.name: BudgetScope(each.kind, each.subject) for each in self.budget}

    def create_backend(self) -> Backend:
        """The configured backend, not yet opened; the other one's driver is not imported."""
        if self.backend == "sqlite":
            from canvasplank.fleet.sqlite import Sqlite

            return Sqlite(self.path)
        from canvasplank.fleet.postgresql import Postgresql

        return Postgresql(self.dsn, self.request_ms / 1000)


def load_fleet_settings(path: str) -> FleetSettings:
    """Read and check the file; raises ``ConfigurationError`` with one line where it cannot be used."""
    return load_extension_settings(path, "fleet", FleetSettings, _check)


def _check(fleet: FleetSettings) -> None:
    check_location(fleet.backend, fleet.path, fleet.dsn)
    if fleet.lease().usable_ms() < 2 * fleet.renew_ms:
        raise ValueError("lease_ms, less drift and margin_ms, is less than two times renew_ms")
    if not fleet.budget:
        raise ValueError("no budget is named")
    for each in fleet.budget:
        if bool(each.subject) != (each.kind in (BudgetKind.MEMBER, BudgetKind.SERVER)):
            raise ValueError(f"budget {each.name}: kind {each.kind} and of {each.subject!r} do not fit")
        if each.total_per_s < fleet.max_members:
            raise ValueError(
                f"budget {each.name}: a whole of {each.total_per_s:g} is less than one unit a "
                f"second for each of {fleet.max_members} proxies"
            )
    names = [each.name for each in fleet.budget]
    scopes = [(each.kind, each.subject) for each in fleet.budget]
    for keys in (names, scopes):
        if len(set(keys)) < len(keys):
            raise ValueError("a budget is named twice")
