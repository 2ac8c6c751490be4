"""Route language-model traffic with priorities and service levels.

The coordination classes do no I/O: they take events and the time and return
commands, so they can be embedded without the daemon.
"""

from importlib import import_module
from types import MappingProxyType
from typing import Any

_MODULES = MappingProxyType({
    'MEANINGS': 'codes',
    'BreachPolicy': 'process.breach',
    'BreachWatch': 'process.breach',
    'Broker': 'process.broker',
    'BrokerPolicy': 'process.broker',
    'Claim': 'request.claim',
    'ClaimState': 'request.claim',
    'Code': 'codes',
    'LeaseLogic': 'process.lease',
    'LeaseRecord': 'process.lease',
    'LimitPolicy': 'process.limits',
    'Member': 'process.membership',
    'Membership': 'process.membership',
    'MembershipPolicy': 'process.membership',
    'Ran': 'codes',
    'RetryBudget': 'request.retry',
    'ServerView': 'request.ticket',
    'SiskinpassError': 'exceptions',
    'SlotLimit': 'process.limits',
    'Ticket': 'request.ticket',
    'TokenStreamParser': 'request.stream',
    'Tree': 'version.schema',
    'decide_claim': 'request.claim',
    'parse_tree': 'version.document',
})

__all__ = tuple(_MODULES)  # noqa: PLE0605


def __getattr__(name: str) -> Any:
    """Load a public name on first use.

    A program that uses one part of the package starts without loading the
    others, which counts when all instances restart at once.

    :raises AttributeError: if the package has no such name.
    """
    module = _MODULES.get(name)
    if module is None:
        raise AttributeError(f'module {__name__!r} has no attribute {name!r}')
    return getattr(import_module(f'{__name__}.{module}'), name)


def __dir__() -> list[str]:
    """Return the public names."""
    return sorted(_MODULES)
