"""Hypothesis settings shared by all property-based tests, for reproducible results.

Examples are drawn from a fixed seed, and no test depends on how long an example takes
on a given machine: there is no deadline, and slow generation is not reported.
"""

import hypothesis

SETTINGS = hypothesis.settings(
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=[
        hypothesis.HealthCheck.too_slow,
        hypothesis.HealthCheck.data_too_large,
    ],
)
