"""Read the settings file that the platform places on each machine."""

from collections.abc import Mapping
from pathlib import Path
from typing import Any

import yaml

from siskinpass.codes import Code
from siskinpass.exceptions import FormatError, SettingsError
from siskinpass.platform.fields import NUMBER, read_field, read_seconds
from siskinpass.process.fleet.settings import (
    FleetSettings,
    Promises,
    RetryBounds,
)

SETTINGS_VARIABLE = 'SISKINPASS_SETTINGS'


def read_settings(path: Path) -> FleetSettings:
    """Return the settings of this process.

    :raises SettingsError: where the file or a field cannot be read.
    """
    try:
        return decode_settings(path.read_bytes())
    except OSError as error:
        raise SettingsError(Code.setting_wrong, str(error)) from error


def decode_settings(text: bytes) -> FleetSettings:
    """Return the settings that a file states; unknown fields are ignored."""
    try:
        return _settings(yaml.load(text, _loader()))
    except (yaml.YAMLError, FormatError, IndexError) as error:
        raise SettingsError(Code.setting_wrong, str(error)) from error


def _loader() -> type:
    return getattr(yaml, 'CSafeLoader', yaml.SafeLoader)


def _settings(table: Any) -> FleetSettings:
    if not isinstance(table, dict):
        raise FormatError(Code.document_wrong, 'settings: not a table')
    listen = read_field(table, 'listen', dict)
    ports = read_field(table, 'internal-port-range', list)
    store = read_field(table, 'platform', dict)
    return FleetSettings(
        name=read_field(table, 'node-name', str),
        ip=read_field(table, 'ip', str),
        zone=read_field(table, 'zone', str),
        callers=read_field(listen, 'front', str),
        readiness=read_field(listen, 'ready', str),
        directory=read_field(listen, 'directory', str),
        peer_port=int(ports[0]),
        metrics_port=int(ports[1]),
        store=read_field(store, 'address', str),
        promises=_promises(read_field(table, 'bounds', dict, {})),
    )


def _promises(bounds: Mapping[str, Any]) -> Promises:
    return Promises(
        drain_s=read_seconds(bounds, 'drain-ms', 2000),
        grace_s=float(read_field(bounds, 'grace-s', NUMBER, 8)),
        config_s=read_seconds(bounds, 'config-apply-ms', 2000),
        directory_s=float(read_field(bounds, 'ttl_max_s', NUMBER, 5)),
        retries=RetryBounds(
            ratio=float(read_field(bounds, 'retry-budget-ratio', NUMBER, 0.2)),
            window_s=float(read_field(bounds, 'retry-window-s', NUMBER, 10)),
            slack=float(read_field(bounds, 'retry-slack', NUMBER, 50)),
        ),
    )
