"""Profiles of the property tests."""

import os

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
