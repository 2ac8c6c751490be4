"""Calls to the cloud API that only the holder of the lease may make."""

import enum
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class UsageReport:
    """Requests that began in one usage window.

    :param counts: requests by workspace.
    """

    window: int
    counts: Mapping[str, int]


@dataclass(frozen=True, slots=True)
class CapacityOrder:
    """Number of servers that one zone of a service should have.

    :param is_spot: whether it orders spot servers instead of normal ones.
    """

    service: str
    zone: str
    count: int
    is_spot: bool = False


class DutyStatus(enum.Enum):
    """Outcome of one call.

    ``unavailable``: refused, as the API has no such servers now (409).
    ``rejected``: refused for any other reason.
    ``unknown``: no answer; the call may have been executed.
    """

    done = 'done'
    unavailable = 'unavailable'
    rejected = 'rejected'
    unknown = 'unknown'


class DutyCaller(Protocol):
    """Sender of calls to the cloud API."""

    @property
    def is_holder(self) -> bool:
        """Return whether this instance holds the lease."""

    async def send(self, call: UsageReport | CapacityOrder) -> DutyStatus:
        """Send one call while the lease certainly holds.

        :raises LeaseLostError: if it does not; nothing was sent.
        """
