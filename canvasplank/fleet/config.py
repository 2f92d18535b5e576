"""Settings of the fleet's budgets and database, from the TOML file that ``CANVASPLANK_FLEET`` names."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from canvasplank.config.extension_file import load_extension_settings
from canvasplank.database.location import check_location
from canvasplank.fleet.backend import Backend
from canvasplank.fleet.budget_limiter import BudgetKind, BudgetScope
from canvasplank.fleet.lease_holder import BudgetLimits, Lease
from canvasplank.fleet.state import THOUSANDTHS_PER_UNIT

Milliseconds = Annotated[float, msgspec.Meta(gt=0, le=600_000)]


class Budget(msgspec.Struct, forbid_unknown_fields=True):
    """A limit, in units per second, on the set-ups of all proxies together."""

    name: Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
    kind: BudgetKind
    total_per_s: Annotated[float, msgspec.Meta(gt=0, le=1_000_000)] = msgspec.field(name="whole_per_s")
    subject: str = msgspec.field(name="of", default="")  # the tenant's name, or the server's instanceId
    # The fraction of the total that is reserved for proxies without a lease.
    reserve_fraction: Annotated[float, msgspec.Meta(ge=0, le=1)] = msgspec.field(
        name="kept_back", default=0.1
    )


class FleetSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Settings of the fleet's coordination."""

    backend: Literal["sqlite", "postgresql"]
    # The maximum number of processes at once, including suspended ones.
    max_members: Annotated[int, msgspec.Meta(ge=1, le=10_000)] = msgspec.field(name="proxies_most")
    budget: list[Budget]
    path: str = ""  # for sqlite: the database file
    dsn: str = ""  # for postgresql: postgresql://user@host:port/database; the password is in PGPASSWORD
    lease_ms: Milliseconds = 3_000.0
    renew_ms: Milliseconds = 1_000.0
    request_ms: Milliseconds = 1_000.0  # the timeout of a request to the store
    margin_ms: Milliseconds = 100.0  # see ``Lease``
    drift: Annotated[float, msgspec.Meta(ge=0, le=0.1)] = 0.001  # see ``Lease``
    burst_ms: Milliseconds = 250.0  # the capacity of a token bucket, as time at the allowance
    trace: bool = False  # log each spent unit and each renewed share, for experiments

    def lease(self) -> Lease:
        """Return the configured duration and tolerances of a lease."""
        return Lease(self.lease_ms, self.margin_ms, self.drift)

    def budget_limits(self) -> dict[str, BudgetLimits]:
        """Return the limits of each budget by its name, in thousandths of a unit per second."""
        return {
            each.name: BudgetLimits(
                int(each.total_per_s * THOUSANDTHS_PER_UNIT),
                int(each.total_per_s * each.reserve_fraction * THOUSANDTHS_PER_UNIT),
                self.max_members,
            )
            for each in self.budget
        }

    def scopes(self) -> dict[str, BudgetScope]:
        """Return the scope of each budget by its name."""
        return {each.name: BudgetScope(each.kind, each.subject) for each in self.budget}

    def create_backend(self) -> Backend:
        """Return the configured backend, not yet opened; only its own driver is imported."""
        if self.backend == "sqlite":
            from canvasplank.fleet.sqlite import Sqlite

            return Sqlite(self.path)
        from canvasplank.fleet.postgresql import Postgresql

        return Postgresql(self.dsn, self.request_ms / 1000)


def load_fleet_settings(path: str) -> FleetSettings:
    """Read and validate the file; raises ``ConfigurationError`` with a one-line message if it is invalid."""
    return load_extension_settings(path, "fleet", FleetSettings, _check)


def _check(fleet: FleetSettings) -> None:
    check_location(fleet.backend, fleet.path, fleet.dsn)
    if fleet.lease().usable_ms() < 2 * fleet.renew_ms:
        raise ValueError("lease_ms minus drift and margin_ms is less than two times renew_ms")
    if not fleet.budget:
        raise ValueError("no budget is defined")
    for each in fleet.budget:
        if bool(each.subject) != (each.kind in (BudgetKind.MEMBER, BudgetKind.SERVER)):
            raise ValueError(
                f"budget {each.name}: kind {each.kind} with of = {each.subject!r}: "
                "the kinds member and server require the key of, the others forbid it"
            )
        if each.total_per_s < fleet.max_members:
            raise ValueError(
                f"budget {each.name}: whole_per_s of {each.total_per_s:g} is less than one unit a "
                f"second for each of {fleet.max_members} proxies"
            )
    names = [each.name for each in fleet.budget]
    scopes = [(each.kind, each.subject) for each in fleet.budget]
    for keys in (names, scopes):
        if len(set(keys)) < len(keys):
            raise ValueError("two budgets have the same name, or the same kind and the same of")
