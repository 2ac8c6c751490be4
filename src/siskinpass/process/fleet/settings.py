"""Settings of one entry instance of a fleet.

The platform's settings file describes the instance. Settings of the program
itself are environment variables.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from types import MappingProxyType

from siskinpass.codes import Code
from siskinpass.connection.held_bytes import HoldLimits, hold_limits
from siskinpass.exceptions import SettingsError

SMALL_FLEET_VARIABLE = 'SISKINPASS_SMALL_FLEET'
LEARN_SPEEDS_VARIABLE = 'SISKINPASS_LEARN_SPEEDS'
PREFER_ZONE_VARIABLE = 'SISKINPASS_PREFER_ZONE'
SWITCHES = MappingProxyType({'0': False, '1': True})
# With so few instances a relay would save less than a late change may cost.
SMALL_FLEET = 12
METRICS_PORT_STEP = 1  # offset of the metrics' TCP port from the heartbeat port


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

    :param config_s: time within which a new configuration must be in force.
    :param contact_s: time without faults after which an instance counts as
        connected again.
    :param grace_s: time from the termination signal to the kill.
    :param directory_s: upper limit of a directory answer's TTL.
    :param retries: retry budget.
    """

    config_s: float = 2.0
    contact_s: float = 3.0
    grace_s: float = 8.0
    directory_s: float = 5.0
    retries: RetryBounds = field(default_factory=RetryBounds)


@dataclass(frozen=True, slots=True)
class DutySettings:
    """Settings of the duties of one instance at a time; times are in seconds.

    :param address: ``ip:port`` of the platform's cloud API.
    :param calls_per_s: calls that the API accepts from all instances together.
    :param reports_usage: whether to report usage.
    :param orders_capacity: whether to order servers.
    :param is_fencing_required: whether the API checks the fencing token.
    :param hold_s: time in which no holder may act again after another one.
    :param thaw_slack_s: time after a suspension in which calls do not count.
    :param window_s: length of a usage window.
    :param tolerance: fraction by which reported counts may be wrong.
    :param late_s: time from a window's end to the due time of its report.
    """

    address: str
    calls_per_s: float = 50.0
    reports_usage: bool = True
    orders_capacity: bool = True
    is_fencing_required: bool = False
    hold_s: float = 3.0
    thaw_slack_s: float = 0.3
    window_s: float = 5.0
    tolerance: float = 0.05
    late_s: float = 10.0


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """Settings of one process. Addresses are ``ip:port``.

    :param callers: address that callers connect to.
    :param readiness: address of the readiness check.
    :param directory: address of the directory, from which callers learn the
        instances to connect to.
    :param peer_port: UDP port for heartbeats of the other instances.
    :param store: address of the object store.
    :param capacity: processor capacity in hundredths of a core.
    :param seeds: ``ip:port`` of instances to ask for the others; they may be
        down.
    :param small_fleet: number of instances up to which each reads the store
        itself.
    :param callers_hold: limits on what callers' connections hold.
    :param is_first_start: whether the whole system starts for the first time.
    :param learns_speeds: whether faster servers get more work.
    :param prefers_zone: whether requests stay in the availability zone while
        its servers are as soon done.
    :param duties: duties of one instance at a time, ``None`` for none.
    """

    name: str
    ip: str
    zone: str
    callers: str
    readiness: str
    directory: str
    peer_port: int
    store: str
    capacity: int = 0
    seeds: tuple[str, ...] = ()
    small_fleet: int = SMALL_FLEET
    is_first_start: bool = False
    learns_speeds: bool = False
    prefers_zone: bool = False
    operator_bounds: OperatorBounds = field(default_factory=OperatorBounds)
    duties: DutySettings | None = None
    callers_hold: HoldLimits = field(default_factory=hold_limits)

    @property
    def peers(self) -> str:
        """Return the address of this instance's heartbeat port."""
        return f'{self.ip}:{self.peer_port}'

    @property
    def other_seeds(self) -> tuple[str, ...]:
        """Return the seeds without this instance."""
        return tuple(seed for seed in self.seeds if seed != self.peers)

    @property
    def placement_zone(self) -> str:
        """Return the zone that requests should stay in, empty for none."""
        return self.zone if self.prefers_zone else ''

    @property
    def metrics(self) -> str:
        """Return the address that the metrics are served at."""
        return f'{self.ip}:{self.peer_port + METRICS_PORT_STEP}'


def apply_environment(
    settings: FleetSettings, environment: Mapping[str, str]
) -> FleetSettings:
    """Return the settings with those of environment variables.

    :raises SettingsError: if a variable is neither a whole number from 0 nor,
        for a switch, 0 or 1.
    """
    text = environment.get(SMALL_FLEET_VARIABLE, str(SMALL_FLEET))
    if not text.isdecimal():
        raise SettingsError(
            Code.setting_wrong, f'{SMALL_FLEET_VARIABLE}: {text!r:.60}'
        )
    return replace(
        settings,
        small_fleet=int(text),
        learns_speeds=_switch(environment, LEARN_SPEEDS_VARIABLE),
        prefers_zone=_switch(environment, PREFER_ZONE_VARIABLE),
    )


def _switch(environment: Mapping[str, str], name: str) -> bool:
    text = environment.get(name, '0')
    if text not in SWITCHES:
        raise SettingsError(Code.setting_wrong, f'{name}: {text!r:.60}')
    return SWITCHES[text]
