"""Read the settings file that the platform installs on each machine."""

import math
from collections.abc import Mapping
from dataclasses import replace
from pathlib import Path
from typing import Any

import yaml

from siskinpass.codes import Code
from siskinpass.connection.held_bytes import (
    DEFAULT_MAX_FDS,
    DEFAULT_MEMORY_MB,
    RESERVED_FDS,
    HoldLimits,
    hold_limits,
)
from siskinpass.exceptions import FormatError, SettingsError
from siskinpass.platform.fields import (
    MS_PER_S,
    NUMBER,
    as_table,
    read_address,
    read_field,
    read_seconds,
)
from siskinpass.process.fleet.settings import (
    DutySettings,
    FleetSettings,
    OperatorBounds,
    RetryBounds,
)

SETTINGS_VARIABLE = 'SISKINPASS_SETTINGS'
HUNDREDTHS = 100
# Section of the duties of one instance at a time, and the names of the duties.
CLOUD = 'cloud-api'
USAGE = 'usage'
SCALE = 'scale'


def read_settings(path: Path) -> FleetSettings:
    """Return the settings of this process.

    :raises SettingsError: if the file cannot be read, or a field is missing
        or invalid.
    """
    try:
        return decode_settings(path.read_bytes())
    except OSError as error:
        raise SettingsError(Code.setting_wrong, str(error)) from error


def decode_settings(text: bytes) -> FleetSettings:
    """Return the settings in the text of a settings file.

    Unknown fields are ignored.

    :param text: YAML.
    :raises SettingsError: if the text is not YAML, or a field is missing or
        invalid.
    """
    try:
        return _settings(yaml.load(text, _loader()))
    except (yaml.YAMLError, FormatError, IndexError) as error:
        raise SettingsError(Code.setting_wrong, str(error)) from error


def _loader() -> type:
    return getattr(yaml, 'CSafeLoader', yaml.SafeLoader)


def _settings(document: Any) -> FleetSettings:
    table = as_table(document, 'settings')
    listen = read_field(table, 'listen', dict)
    ports = read_field(table, 'internal-port-range', list)
    store = read_field(table, 'platform', dict)
    limits = read_field(table, 'limits', dict, {})
    peer_port = int(ports[0])
    return FleetSettings(
        name=read_field(table, 'node-name', str),
        ip=read_field(table, 'ip', str),
        zone=read_field(table, 'zone', str),
        callers=read_field(listen, 'front', str),
        readiness=read_field(listen, 'ready', str),
        directory=read_field(listen, 'directory', str),
        peer_port=peer_port,
        store=read_field(store, 'address', str),
        capacity=_capacity(limits),
        seeds=tuple(
            _seed(address, peer_port)
            for address in read_field(table, 'seed-nodes', list, [])
        ),
        is_first_start=read_field(table, 'bootstrap', bool, default=False),
        operator_bounds=_operator_bounds(read_field(table, 'bounds', dict, {})),
        duties=_duties(table),
        callers_hold=_hold_limits(limits),
    )


def _duties(table: Mapping[str, Any]) -> DutySettings | None:
    if CLOUD not in table:
        return None
    cloud = read_field(table, CLOUD, dict)
    bounds = read_field(table, 'bounds', dict, {})
    default = DutySettings(read_address(cloud, 'address'))
    named = read_field(cloud, 'duties', list, [USAGE, SCALE])
    found = replace(
        default,
        calls_per_s=min(
            _number(cloud, 'duty-per-s', default.calls_per_s),
            _number(cloud, 'rate-per-s', default.calls_per_s),
        ),
        reports_usage=USAGE in named,
        orders_capacity=SCALE in named,
        is_fencing_required=read_field(
            bounds, 'fencing-required', bool, default=False
        ),
        hold_s=_seconds_from_ms(bounds, 'lease-ms', default.hold_s),
        thaw_slack_s=_seconds_from_ms(
            bounds, 'thaw-slack-ms', default.thaw_slack_s
        ),
        window_s=_number(bounds, 'report-window-s', default.window_s),
        tolerance=_number(bounds, 'usage-tolerance', default.tolerance),
        late_s=_number(bounds, 'usage-late-s', default.late_s),
    )
    positive = (found.calls_per_s, found.hold_s, found.window_s, found.late_s)
    if not all(0 < one < math.inf for one in positive):
        raise FormatError(
            Code.document_wrong, f'{CLOUD}: rates and times must be above 0'
        )
    return found


def _capacity(limits: Mapping[str, Any]) -> int:
    share = read_field(limits, 'cpu-share', NUMBER, 0)
    # Despite its wire name, the field says how much faster than usual a core
    # is.
    speed = read_field(limits, 'cores', NUMBER, 1)
    return int(share * speed * HUNDREDTHS)


def _hold_limits(limits: Mapping[str, Any]) -> HoldLimits:
    memory_mb = read_field(limits, 'memory-mb', NUMBER, DEFAULT_MEMORY_MB)
    max_fds = read_field(limits, 'max-fds', NUMBER, DEFAULT_MAX_FDS)
    if memory_mb <= 0 or max_fds <= RESERVED_FDS:
        raise FormatError(
            f'limits: memory-mb {memory_mb} is not positive, or max-fds '
            f'{max_fds} leaves none beside {RESERVED_FDS} for files'
        )
    return hold_limits(memory_mb, int(max_fds))


def _seed(address: Any, peer_port: int) -> str:
    # The address is that of another listener of the instance; its port for
    # peers is the same as here.
    host, _, _ = str(address).rpartition(':')
    return f'{host}:{peer_port}'


def _operator_bounds(bounds: Mapping[str, Any]) -> OperatorBounds:
    default = OperatorBounds()
    retries = default.retries
    return OperatorBounds(
        config_s=_seconds_from_ms(bounds, 'config-apply-ms', default.config_s),
        contact_s=_seconds_from_ms(bounds, 'contact-ms', default.contact_s),
        grace_s=_number(bounds, 'grace-s', default.grace_s),
        directory_s=_number(bounds, 'ttl_max_s', default.directory_s),
        retries=RetryBounds(
            ratio=_number(bounds, 'retry-budget-ratio', retries.ratio),
            window_s=_number(bounds, 'retry-window-s', retries.window_s),
            slack=_number(bounds, 'retry-slack', retries.slack),
        ),
    )


def _number(bounds: Mapping[str, Any], name: str, default: float) -> float:
    return float(read_field(bounds, name, NUMBER, default))


def _seconds_from_ms(
    bounds: Mapping[str, Any],
    name: str,
    default_s: float,
) -> float:
    return read_seconds(bounds, name, default_s * MS_PER_S)
