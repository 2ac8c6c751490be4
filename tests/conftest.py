"""Set up what all tests share."""

import os

from hypothesis import settings

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
