"""The files under ``deploy/``: what `run` names is there, and each is one that its part reads."""

from __future__ import annotations

import re
import tomllib
from pathlib import Path

import pytest

from canvasplank.cold_start.extension import ColdStartSettings
from canvasplank.config.extension_file import load_extension_settings
from canvasplank.endpoint_cache.config import load_endpoint_cache_settings
from canvasplank.extensions.registry import REGISTRY, load_enabled_extensions
from canvasplank.fleet.config import load_fleet_settings
from canvasplank.store.config import load_store
from canvasplank.warm_start.config import load_warm_start_settings
from canvasplank.worker.config import load_worker_settings

ROOT = Path(__file__).parent.parent
LOADS = {
    "fleet": load_fleet_settings,
    "learning": load_warm_start_settings,
    "membership": load_endpoint_cache_settings,
    "store": load_store,
    "work": load_worker_settings,
    "starting": lambda path: load_extension_settings(path, "starting", ColdStartSettings, lambda _: None),
}


@pytest.mark.parametrize("name", sorted(LOADS))
def test_a_file_with_everything_in_it_is_read(name):
    assert LOADS[name](str(ROOT / "deploy" / f"{name}.toml")) is not None


def test_run_switches_on_what_the_platform_allows_and_nothing_else():
    """No talk among instances, no lasting disk, no pace that would have the board's news come late."""
    run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    named = dict(re.findall(r"export (CANVASPLANK_\w+)=(\S+?);", run))
    assert named == {"CANVASPLANK_STARTING": "deploy/subset.toml"}
    assert set(named) <= {entry.variable for entry in REGISTRY}
    assert len(load_enabled_extensions({name: str(ROOT / path) for name, path in named.items()})) == 1
    starting = LOADS["starting"](str(ROOT / "deploy" / "subset.toml"))
    assert starting == ColdStartSettings(
        servers_per_proxy=starting.servers_per_proxy, proxies_per_server=starting.proxies_per_server
    ), "the subset alone"
    assert run.rpartition(";")[2].startswith(" exec "), "one process, which starts no program"
