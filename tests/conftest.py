"""Profiles of the property tests and shared fixtures."""

import os
from pathlib import Path

import pytest
from consensus_cluster import Cluster, put_service_command
from hypothesis import HealthCheck, settings

_SUPPRESSED_CHECKS = [HealthCheck.too_slow, HealthCheck.data_too_large, HealthCheck.filter_too_much]

settings.register_profile(
    "ci", derandomize=True, deadline=None, suppress_health_check=_SUPPRESSED_CHECKS
)
settings.register_profile(
    "long",
    deadline=None,
    max_examples=2000,
    stateful_step_count=200,
    suppress_health_check=_SUPPRESSED_CHECKS,
    print_blob=True,
)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))


@pytest.fixture(params=[3, 5])
def cluster(request: pytest.FixtureRequest) -> Cluster:
    """Return a cluster without faults that has a leader and five committed services."""
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
    """Return the ids of the tests that KNOWN-RED.txt lists for faults that are still open."""
    lines = KNOWN_RED.read_text().splitlines() if KNOWN_RED.exists() else []
    return {line.strip() for line in lines if line.startswith("tests/")}


def pytest_addoption(parser: pytest.Parser) -> None:
    """Add the option that also runs the listed tests."""
    parser.addoption("--known-red", action="store_true", help="run the tests of KNOWN-RED.txt too")


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Deselect exactly the listed tests."""
    if config.getoption("--known-red"):
        return
    listed_ids = known_red()
    deselected = [item for item in items if item.nodeid in listed_ids]
    config.hook.pytest_deselected(items=deselected)
    items[:] = [item for item in items if item not in deselected]


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the listed tests."""
    for name in sorted(known_red()):
        terminalreporter.write_line(f"known red, see KNOWN-RED.txt: {name}")
