"""Settings and fixtures that several test modules share."""

import os

import pytest
from hypothesis import settings

from bench.cluster import deployment, running

os.environ['UV_USE_IO_URING'] = '0'
# Makes CI runs reproducible: no random seed, and no deadline that a slow
# machine would exceed.
settings.register_profile(
    'ci',
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=60,
    stateful_step_count=40,
)
settings.load_profile(os.environ.get('HYPOTHESIS_PROFILE', 'ci'))


@pytest.fixture(scope='session')
def cluster():
    """Run three entries behind proxies, shared by the tests of a session."""
    plan = deployment(
        'fieltro-lanera',
        3,
        proxied=True,
        engines={f'engine-{number}': {} for number in range(1, 4)},
        services={f'app-{number}': {} for number in range(1, 3)},
    )
    with running(plan) as started:
        yield started


@pytest.fixture
def restored(cluster):
    """Return the shared deployment and reset its faults afterwards.

    This covers the proxies' faults, the store's outage and delay, and slow or
    leaving engines. A test resets any other fault itself. Connections that were
    silenced stay silent.
    """
    yield cluster
    cluster.fault(kind='clear')
    cluster.order('platform', {'down': False, 'slow_s': 0}, '/admin/store')
    for name in cluster.plan.engines:
        cluster.order(name, {'slow': 1, 'leaving': False}, '/admin/slow')
    cluster.wait_members(len(cluster.entries))


@pytest.fixture
def fresh():
    """Run a separate deployment for a test that kills processes in it."""
    plan = deployment(
        'fieltro-lanera',
        3,
        engines={f'engine-{number}': {} for number in range(1, 4)},
        services={'app-1': {}},
    )
    with running(plan) as started:
        yield started
