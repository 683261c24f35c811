"""Profiles of Hypothesis: `ci` gives the same verdict on every run, `long` searches further."""

import os

from hypothesis import HealthCheck, settings

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    print_blob=True,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.register_profile(
    "long", parent=settings.get_profile("ci"), derandomize=False, max_examples=2000
)
settings.load_profile(os.environ.get("GGW_TEST_PROFILE", "ci"))
