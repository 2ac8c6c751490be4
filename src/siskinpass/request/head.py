"""Results of parsing the head of a request.

A page is a path that the instance answers itself instead of relaying the
request to a backend server.
"""

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RequestHead:
    """Parsed head of one request.

    :param method: method in upper case.
    :param path: decoded path.
    :param headers: header values by lower-case name.
    :param length: announced length of the body in bytes.
    :param keep_alive: whether the connection stays open afterwards.
    """

    method: str
    path: str
    headers: Mapping[str, str]
    length: int
    keep_alive: bool


@dataclass(frozen=True, slots=True)
class PageAnswer:
    """Complete response of a page handler, or to a malformed request.

    :param wire: serialized response, head and body.
    :param length: length of the request's body in bytes.
    :param keep_alive: whether the connection stays open afterwards.
    """

    wire: bytes
    length: int
    keep_alive: bool


@dataclass(frozen=True, slots=True)
class BodyNeeded:
    """Signal that a page handler needs the body of the request.

    :param length: length of the body in bytes.
    """

    length: int
