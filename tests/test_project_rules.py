"""Rules for the structure of the code: module size, imports, and what each part may use."""

from __future__ import annotations

import ast
import re
import tomllib
from pathlib import Path

import pytest

PACKAGE = Path(__file__).parent.parent / "canvasplank"
MAX_MODULE_LINES = 400
MAX_LINE_LENGTH = 110


def tree(name: str) -> ast.Module:
    return ast.parse((PACKAGE / name).read_text())


POLICY = sorted((PACKAGE / "policy").glob("*.py"))


def policy_trees() -> list[ast.Module]:
    return [ast.parse(path.read_text()) for path in POLICY]


@pytest.mark.parametrize(
    "path", sorted(PACKAGE.rglob("*.py")), ids=lambda path: str(path.relative_to(PACKAGE))
)
def test_modules_and_lines_are_short(path):
    """Every line counts, blank ones and comments too."""
    lines = path.read_text().splitlines()
    assert len(lines) <= MAX_MODULE_LINES
    assert max(map(len, lines), default=0) <= MAX_LINE_LENGTH


def test_the_deploy_file_names_every_file_of_the_policy():
    named = tomllib.loads((PACKAGE.parent / "deploy" / "balancer.toml").read_text())["policy"]
    assert sorted(named) == [f"canvasplank/policy/{path.name}" for path in POLICY]


def test_policy_names_its_interface_first():
    assert "canvasplank/interface.py" in ast.get_docstring(tree("policy/__init__.py"))


def test_only_the_gate_sends():
    builders = [
        function.name
        for module in policy_trees()
        for function in ast.walk(module)
        if isinstance(function, ast.FunctionDef)
        for node in ast.walk(function)
        if isinstance(node, ast.Call) and ast.unparse(node.func) in ("SetUp", "api.SetUp")
    ]
    assert builders == ["_gate"]


@pytest.mark.parametrize("path", POLICY, ids=lambda path: path.name)
def test_policy_reads_no_clock_and_shares_nothing(path):
    source, module = path.read_text(), ast.parse(path.read_text())
    imported = {
        f"canvasplank.{alias.name}" if node.module == PACKAGE_NAME else node.module
        for node in ast.walk(module)
        if isinstance(node, ast.ImportFrom)
        for alias in node.names
    } | {a.name for node in ast.walk(module) if isinstance(node, ast.Import) for a in node.names}
    own = {f"canvasplank.policy.{each.stem}" for each in POLICY}
    allowed = {"__future__", "random", "collections", "collections.abc", "canvasplank.interface"}
    assert imported - own <= allowed
    assert set(re.findall(r"\brandom\.(\w+)", source)) <= {"Random"} | set(
        re.findall(r"_random\.(\w+)", source)
    )
    assert "global " not in source


@pytest.mark.parametrize("name", ["interface.py", "simulator_adapter.py", "__init__.py"])
def test_no_tuned_value_outside_the_policy(name):
    """The adapter has only positions, flags and masks of its messages; the interface has 0 and 1."""
    numbers = {
        node.value
        for node in ast.walk(tree(name))
        if isinstance(node, ast.Constant) and type(node.value) in (int, float)
    }
    wire = {2, 3, 4, 5, 6, 7, 10, 15, 16, 80} if name == "simulator_adapter.py" else set()
    assert numbers <= {0, 1} | wire


@pytest.mark.parametrize("name", ["interface.py", "__init__.py"])
def test_the_interface_decides_nothing(name):
    """The interface has functions only to check that settings are in range."""
    functions = {n.name for n in ast.walk(tree(name)) if isinstance(n, ast.FunctionDef)}
    assert functions <= {"__post_init__", "_require", "_finite"}


def test_the_adapter_reads_no_state_of_a_controller():
    source = (PACKAGE / "simulator_adapter.py").read_text()
    assert set(re.findall(r"controller\.(\w+)", source)) == {"handle"}


PACKAGE_NAME = "canvasplank"
# In order of dependency: a module imports only modules that come before it.
LAYERS = [
    "runtime.signals",
    "interface",
    "runtime.structured_logging",
    "codecs.errors",
    "codecs.q850",
    "codecs.isup",
    "codecs.sip",
    "codecs.sip_recovery",
    "codecs.sse",
    "counters",
    "runtime.scheduler",
    "runtime.shutdown",
    "runtime.streams",
    "runtime.worker_thread",
    "database.errors",
    "database.location",
    "database.statements",
    "database.migrations",
    "database.sqlite",
    "database.postgresql",
    "fleet.state",
    "fleet.lease_messages",
    "fleet.fair_division",
    "fleet.lease_transaction",
    "fleet.lease_holder",
    "fleet.failure_detector",
    "fleet.budget_limiter",
    "fleet.renewal_schedule",
    "warm_start.peer_snapshot",
    "warm_start.start_hints",
    "policy.leaky_bucket",
    "policy.decision_context",
    "policy.server_observations",
    "policy.rate_control",
    "policy.server",
    "policy.call_queue",
    "policy.routing",
    "policy.controller",
    "policy",
    "config.addresses",
    "config.discovery_events",
    "config.configuration",
    "config.platform_settings",
    "config.extension_file",
    "warm_start.config",
    "warm_start.client",
    "warm_start.server",
    "endpoint_cache.cached_list",
    "endpoint_cache.bootstrap",
    "endpoint_cache.endpoint_list",
    "endpoint_cache.cache_file",
    "endpoint_cache.writer",
    "endpoint_cache.config",
    "simulator_adapter",
    "exchange.call_records",
    "exchange.ports",
    "exchange.call_table",
    "exchange.event_dispatcher",
    "exchange.outcomes",
    "exchange.attempts",
    "exchange.final_answers",
    "exchange.exchange",
    "store.records",
    "store.outbox",
    "store.schema",
    "store.backend",
    "store.sqlite",
    "store.postgresql",
    "store.config",
    "store.writer",
    "store.__main__",
    "runtime.event_loop",
    "network.stream",
    "network.connection_attempt",
    "network.predecessor",
    "network.successor",
    "network.reconnect_backoff",
    "network.listener",
    "network.release_retransmission",
    "network.peer",
    "network.connection_end",
    "network.token_bucket",
    "network.deferred_input",
    "network.caller_drain",
    "network.caller_stream",
    "network.caller_pool",
    "network.caller_releases",
    "network.set_up_parser",
    "network.callers",
    "network.server_messages",
    "network.ended_connection",
    "network.server_stream_owner",
    "network.server_stream",
    "network.server_connections",
    "network.peer_table",
    "network.servers",
    "network.discovery",
    "admin",
    "extensions.extension",
    "extensions.registry",
    "endpoint_cache.extension",
    "store.extension",
    "warm_start.extension",
    "fleet.schema",
    "fleet.backend",
    "fleet.sqlite",
    "fleet.postgresql",
    "fleet.config",
    "fleet.task_leadership",
    "fleet.renewal_reporter",
    "fleet.lease_renewer",
    "fleet.extension",
    "cold_start.poll_backoff",
    "cold_start.rendezvous_hashing",
    "cold_start.rendezvous_subset",
    "cold_start.config",
    "cold_start.extension",
    "worker.config",
    "worker.usage_ledger",
    "worker.export_files",
    "worker.task_runner",
    "program",
    "cli",
    "__main__",
]


def imports_of(module: str) -> set[str]:
    found = set()
    path = module.replace(".", "/")
    for node in ast.walk(tree(f"{path}.py" if (PACKAGE / f"{path}.py").exists() else f"{path}/__init__.py")):
        if isinstance(node, ast.ImportFrom) and (node.module or "").startswith(PACKAGE_NAME):
            rest = (node.module or "").removeprefix(PACKAGE_NAME).removeprefix(".")
            names = {".".join(filter(None, (rest, alias.name))) for alias in node.names}
            found |= {rest} if rest in LAYERS else names
    return found


def test_imports_go_downward():
    modules = {str(p.relative_to(PACKAGE).with_suffix("")).replace("/", ".") for p in PACKAGE.rglob("*.py")}
    reexporting = {"policy"}  # the only package whose __init__ re-exports a name
    assert {m for m in modules if not m.endswith("__init__")} | reexporting == set(LAYERS)
    for at, module in enumerate(LAYERS):
        assert imports_of(module) <= set(LAYERS[:at]), module


# The modules of the network by side: callers, servers; service discovery is a third, others are common.
CALLER_MODULES = {
    f"network.{name}"
    for name in (
        "caller_drain",
        "caller_pool",
        "caller_releases",
        "caller_stream",
        "callers",
        "connection_end",
        "deferred_input",
        "set_up_parser",
        "token_bucket",
    )
}
SERVER_MODULES = {
    f"network.{name}"
    for name in (
        "ended_connection",
        "peer",
        "peer_table",
        "server_connections",
        "server_messages",
        "server_stream",
        "server_stream_owner",
        "servers",
    )
}
COMMON_MODULES = {
    f"network.{name}"
    for name in (
        "connection_attempt",
        "listener",
        "predecessor",
        "reconnect_backoff",
        "release_retransmission",
        "stream",
        "successor",
    )
}


def test_callers_and_servers_meet_only_in_the_exchange():
    sides = [CALLER_MODULES, SERVER_MODULES, {"network.discovery"}]
    network = {name for name in LAYERS if name.startswith("network.")}
    assert network == COMMON_MODULES.union(*sides), "each module belongs to one side or is common"
    for side in sides:
        for module in side:
            assert not imports_of(module) & (network - side - COMMON_MODULES), module
    for module in COMMON_MODULES:
        assert imports_of(module) & network <= COMMON_MODULES, module
    exchange = [name for name in LAYERS if name.startswith("exchange.")]
    assert not any(name.startswith("network") for module in exchange for name in imports_of(module))
