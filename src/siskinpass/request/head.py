"""Define what is known of a request once its head has been parsed."""

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RequestHead:
    """Hold the parsed head of one request.

    :param method: upper-case method.
    :param path: decoded path.
    :param headers: header texts by lower-case name.
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
    """Hold a whole answer that a page handler made.

    :param wire: the answer as it goes over the connection.
    :param length: length of the request's body in bytes.
    :param keep_alive: whether the connection stays open afterwards.
    """

    wire: bytes
    length: int
    keep_alive: bool


@dataclass(frozen=True, slots=True)
class BodyNeeded:
    """Ask for the body before a page handler can run."""

    length: int
