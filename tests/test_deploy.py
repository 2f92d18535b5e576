"""The files under ``deploy/``: the files that ``run`` names exist, and each is readable by its extension."""

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
from canvasplank.store.config import load_store_settings
from canvasplank.warm_start.config import load_warm_start_settings
from canvasplank.worker.config import load_worker_settings

ROOT = Path(__file__).parent.parent
LOADERS = {
    "fleet": load_fleet_settings,
    "learning": load_warm_start_settings,
    "membership": load_endpoint_cache_settings,
    "store": load_store_settings,
    "work": load_worker_settings,
    "starting": lambda path: load_extension_settings(path, "starting", ColdStartSettings, lambda _: None),
}


@pytest.mark.parametrize("name", sorted(LOADERS))
def test_the_example_file_of_each_extension_is_valid(name):
    assert LOADERS[name](str(ROOT / "deploy" / f"{name}.toml")) is not None


def test_run_enables_only_extensions_that_the_platform_allows():
    """No traffic between instances, no persistent disk, and no polling delay for discovery events."""
    run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    named = dict(re.findall(r"export (CANVASPLANK_\w+)=(\S+?);", run))
    assert named == {"CANVASPLANK_STARTING": "deploy/subset.toml"}
    assert set(named) <= {entry.variable for entry in REGISTRY}
    assert len(load_enabled_extensions({name: str(ROOT / path) for name, path in named.items()})) == 1
    starting = LOADERS["starting"](str(ROOT / "deploy" / "subset.toml"))
    assert starting == ColdStartSettings(
        servers_per_proxy=starting.servers_per_proxy, proxies_per_server=starting.proxies_per_server
    ), "only the subset is set"
    assert run.rpartition(";")[2].startswith(" exec "), "run ends with exec: no other process is started"
