"""Define the settings of one entry instance of a fleet."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class RetryBounds:
    """Bound the sends beyond the first over all instances.

    :param ratio: sends beyond the first for each request of a service.
    :param window_s: sliding window in which they are counted.
    :param slack: sends beyond the first that are always allowed.
    """

    ratio: float = 0.2
    window_s: float = 10.0
    slack: float = 50.0


@dataclass(frozen=True, slots=True)
class OperatorBounds:
    """Hold the bounds that the operator states, in seconds.

    :param contact_s: calm time after which an instance counts as in touch.
    :param grace_s: time from the termination signal to the kill.
    :param directory_s: longest time that a directory answer counts.
    """

    contact_s: float = 3.0
    grace_s: float = 8.0
    directory_s: float = 5.0
    retries: RetryBounds = field(default_factory=RetryBounds)


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """Hold the settings of one process. Addresses are ``ip:port``.

    :param callers: address that callers connect to.
    :param readiness: address of the readiness check.
    :param directory: address that tells callers where to connect.
    :param peer_port: UDP port for the other instances.
    :param metrics_port: TCP port of the metrics.
    :param store: address of the object store.
    :param is_first_start: whether the whole system starts for the first time.
    """

    name: str
    ip: str
    zone: str
    callers: str
    readiness: str
    directory: str
    peer_port: int
    metrics_port: int
    store: str
    is_first_start: bool = False
    operator_bounds: OperatorBounds = field(default_factory=OperatorBounds)

    @property
    def peers(self) -> str:
        """Return the address for the other instances."""
        return f'{self.ip}:{self.peer_port}'

    @property
    def metrics(self) -> str:
        """Return the address of the metrics."""
        return f'{self.ip}:{self.metrics_port}'
