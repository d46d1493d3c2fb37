"""Profiles of the property tests and shared fixtures."""

import os

import pytest
from consensus_cluster import Cluster, put
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
    cluster.propose_all(cluster.leader(), [put(f"s{i}", 0, f"c{i}") for i in range(5)])
    cluster.run(1)
    assert cluster.oracle.revision == 5
    return cluster
