"""Set up what all tests share."""

import os

import pytest
from hypothesis import settings

from bench.cluster import deployment, running

os.environ['UV_USE_IO_URING'] = '0'
# CI's verdict is the same on every run: no random seed, no deadline.
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
    """Run a deployment of three entries behind proxies for many tests."""
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
    """Give the shared deployment, and heal it afterwards."""
    yield cluster
    cluster.fault(kind='clear')
    cluster.order('platform', {'down': False, 'slow_s': 0}, '/admin/store')
    for name in cluster.plan.engines:
        cluster.order(name, {'slow': 1, 'leaving': False}, '/admin/slow')
    cluster.wait_members(len(cluster.entries))


@pytest.fixture
def fresh():
    """Run a deployment of its own for a test that kills parts of it."""
    plan = deployment(
        'fieltro-lanera',
        3,
        engines={f'engine-{number}': {} for number in range(1, 4)},
        services={'app-1': {}},
    )
    with running(plan) as started:
        yield started
