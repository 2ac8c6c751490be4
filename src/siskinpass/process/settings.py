"""Settings of one process and their validation."""

import ipaddress
import ssl
from dataclasses import dataclass
from pathlib import Path

from siskinpass.codes import Code
from siskinpass.exceptions import SettingsError
from siskinpass.process.peers import PeerSecurity

SHARED = 'shared'
PRIORITY_LOCAL = 'priority-local'
LEAST_OUTSTANDING = 'least-outstanding'
FIFO_RANDOM = 'fifo-random'
DECISIONS = (SHARED, PRIORITY_LOCAL, LEAST_OUTSTANDING, FIFO_RANDOM)
MAX_PORT = 65_535
MIN_KEY_LENGTH = 8


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of one entry instance.

    Addresses are ``ip:port``.

    :param name: name of the instance, made of letters, digits and dashes.
    :param zone: availability zone of the instance.
    :param callers: address that callers connect to.
    :param operators: address that operators connect to.
    :param peers: address for heartbeats and broker sessions.
    :param announced_callers: address that ``/address`` returns for this
        instance, if not ``callers``.
    :param announced_peers: address that other instances use for this one, if
        not ``peers``.
    :param platform: address of the object store and the list of instances.
    :param operator_key: secret that operators' requests must present.
    :param peer_key: secret that all instances share.
    :param certificate: certificate for callers and operators, ``None`` to
        serve them without TLS.
    :param private_key: key of ``certificate``, ``None`` if it is in that file.
    :param peer_certificate: certificate for the connections between instances,
        ``None`` to make them without TLS.
    :param peer_private_key: key of ``peer_certificate``, ``None`` if it is in
        that file.
    :param peer_authority: certificates of the authorities that sign the
        certificates of other instances; required with ``peer_certificate``.
    :param threads: request threads of CherryPy's server.
    :param decisions: ``shared`` for one broker for all instances. The others
        are baselines in which each instance decides on its own:
        ``priority-local``, ``least-outstanding`` and ``fifo-random``.
    """

    name: str
    zone: str
    callers: str
    operators: str
    peers: str
    platform: str
    operator_key: str
    peer_key: str
    announced_callers: str = ''
    announced_peers: str = ''
    certificate: Path | None = None
    private_key: Path | None = None
    peer_certificate: Path | None = None
    peer_private_key: Path | None = None
    peer_authority: Path | None = None
    threads: int = 8
    decisions: str = SHARED


def check_settings(settings: Settings) -> None:
    """Validate the settings, including the files that they name.

    :raises SettingsError: for the first setting that is wrong.
    """
    _check_addresses(settings)
    _check_keys(settings)
    if settings.threads < 1:
        raise _settings_error('threads', 'is less than 1')
    if settings.decisions not in DECISIONS:
        raise _settings_error(
            'decisions', f'is not one of {", ".join(DECISIONS)}'
        )
    if not settings.name.replace('-', '').isalnum():
        raise _settings_error(
            'name', 'is not made of letters, digits and dashes'
        )
    load_tls(settings)
    load_peer_security(settings)


def _check_addresses(settings: Settings) -> None:
    for name in ('callers', 'operators', 'peers', 'platform'):
        _check_address(name, getattr(settings, name))
    for name in ('announced_callers', 'announced_peers'):
        if getattr(settings, name):
            _check_address(name, getattr(settings, name))


def _check_keys(settings: Settings) -> None:
    for name in ('operator_key', 'peer_key'):
        if len(getattr(settings, name)) < MIN_KEY_LENGTH:
            raise _settings_error(
                name, f'is shorter than {MIN_KEY_LENGTH} characters'
            )


def load_tls(settings: Settings) -> ssl.SSLContext | None:
    """Return the TLS context for callers and operators, ``None`` without TLS.

    :raises SettingsError: if the certificate or its key cannot be loaded.
    """
    if settings.certificate is None:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    _load_chain(
        context,
        settings.certificate,
        settings.private_key,
        'certificate',
    )
    return context


def load_peer_security(settings: Settings) -> PeerSecurity:
    """Return the credentials with which instances authenticate to each other.

    With a certificate, connections use mutual TLS.

    :raises SettingsError: if a certificate or key cannot be loaded, or if the
        authority is missing.
    """
    if settings.peer_certificate is None:
        return PeerSecurity(settings.peer_key)
    server = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    client = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    client.check_hostname = False
    server.verify_mode = ssl.CERT_REQUIRED
    for context in (server, client):
        _load_chain(
            context,
            settings.peer_certificate,
            settings.peer_private_key,
            'peer_certificate',
        )
        _load_authority(context, settings.peer_authority)
        context.set_alpn_protocols(['h2'])
    return PeerSecurity(settings.peer_key, server, client)


def _load_chain(
    context: ssl.SSLContext,
    certificate: Path,
    private_key: Path | None,
    name: str,
) -> None:
    try:
        context.load_cert_chain(certificate, private_key)
    except (OSError, ssl.SSLError) as error:
        raise _settings_error(name, f'cannot be loaded: {error}') from error


def _load_authority(context: ssl.SSLContext, authority: Path | None) -> None:
    if authority is None:
        raise _settings_error('peer_authority', 'is missing')
    try:
        context.load_verify_locations(authority)
    except (OSError, ssl.SSLError) as error:
        reason = f'cannot be loaded: {error}'
        raise _settings_error('peer_authority', reason) from error


def _check_address(name: str, address: str) -> None:
    host, colon, port = address.rpartition(':')
    if not colon or not port.isdigit() or int(port) > MAX_PORT:
        raise _settings_error(name, f'is not ip:port: {address}')
    try:
        ipaddress.ip_address(host)
    except ValueError as error:
        raise _settings_error(name, f'is not an IP address: {host}') from error


def _settings_error(name: str, reason: str) -> SettingsError:
    return SettingsError(Code.setting_wrong, f'{name} {reason}')
