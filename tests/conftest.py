"""Profiles of the property tests and shared fixtures."""

import os
from pathlib import Path

import pytest
from consensus_cluster import Cluster, put_service_command
from hypothesis import HealthCheck, settings

_CHECKS = [HealthCheck.too_slow, HealthCheck.data_too_large, HealthCheck.filter_too_much]

settings.register_profile("ci", derandomize=True, deadline=None, suppress_health_check=_CHECKS)
settings.register_profile(
    "long",
    deadline=None,
    max_examples=2000,
    stateful_step_count=200,
    suppress_health_check=_CHECKS,
    print_blob=True,
)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))


@pytest.fixture(params=[3, 5])
def cluster(request: pytest.FixtureRequest) -> Cluster:
    """Return a calm cluster with a leader and some commits."""
    cluster = Cluster(request.param, seed=7)
    cluster.run(3)
    cluster.propose_all(
        cluster.leader(), [put_service_command(f"s{i}", 0, f"c{i}") for i in range(5)]
    )
    cluster.run(1)
    assert cluster.oracle.revision == 5
    return cluster


KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"


def known_red() -> set[str]:
    """Return the tests that fail because of a fault that is recorded and still open."""
    lines = KNOWN_RED.read_text().splitlines() if KNOWN_RED.exists() else []
    return {line.strip() for line in lines if line.startswith("tests/")}


def pytest_addoption(parser: pytest.Parser) -> None:
    """Add the option that runs the recorded tests too."""
    parser.addoption("--known-red", action="store_true", help="run the tests of KNOWN-RED.txt too")


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Pass over exactly the recorded tests."""
    if config.getoption("--known-red"):
        return
    names = known_red()
    red = [item for item in items if item.nodeid in names]
    config.hook.pytest_deselected(items=red)
    items[:] = [item for item in items if item not in red]


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the recorded tests."""
    for name in sorted(known_red()):
        terminalreporter.write_line(f"known red, see KNOWN-RED.txt: {name}")
