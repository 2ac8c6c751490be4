"""Results of parsing the head of a request."""

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
    """Complete response that a page handler produced.

    :param wire: serialized response, head and body.
    :param length: length of the request's body in bytes.
    :param keep_alive: whether the connection stays open afterwards.
    """

    wire: bytes
    length: int
    keep_alive: bool


@dataclass(frozen=True, slots=True)
class BodyNeeded:
    """Signals that a page handler needs the body of the request to run.

    :param length: length of the body in bytes.
    """

    length: int
