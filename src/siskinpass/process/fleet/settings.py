"""Settings of one entry instance of a fleet."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class RetryBounds:
    """Retry budget of each service, shared by all instances.

    :param ratio: retries allowed for each request of a service.
    :param window_s: sliding window in which requests and retries are counted.
    :param slack: retries allowed in addition, regardless of the requests.
    """

    ratio: float = 0.2
    window_s: float = 10.0
    slack: float = 50.0


@dataclass(frozen=True, slots=True)
class OperatorBounds:
    """Limits that the operator sets; times are in seconds.

    :param contact_s: time without faults after which an instance counts as
        connected again.
    :param grace_s: time from the termination signal to the kill.
    :param directory_s: upper limit of a directory answer's TTL.
    :param retries: retry budget.
    """

    contact_s: float = 3.0
    grace_s: float = 8.0
    directory_s: float = 5.0
    retries: RetryBounds = field(default_factory=RetryBounds)


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """Settings of one process. Addresses are ``ip:port``.

    :param callers: address that callers connect to.
    :param readiness: address of the readiness check.
    :param directory: address of the directory, from which callers learn the
        instances to connect to.
    :param peer_port: UDP port for heartbeats of the other instances.
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
        """Return the address of this instance's heartbeat port."""
        return f'{self.ip}:{self.peer_port}'

    @property
    def metrics(self) -> str:
        """Return the address that the metrics are served at."""
        return f'{self.ip}:{self.metrics_port}'
