"""Define the exception tree of the package."""

from siskinpass.codes import MEANINGS, Code


class SiskinpassError(Exception):
    """Base of every error that the package raises on purpose.

    :param code: the numbered result code.
    :param detail: what was wrong, for the log and the caller.
    :param retry_after_ms: when to try again, 0 where that does not help.
    :param address: another instance to use, empty where that does not help.
    """

    def __init__(
        self,
        code: Code,
        detail: str = '',
        retry_after_ms: int = 0,
        address: str = '',
    ) -> None:
        """Keep the code beside the text."""
        super().__init__(detail or MEANINGS[code].text)
        self.code = code
        self.retry_after_ms = retry_after_ms
        self.address = address


class RequestError(SiskinpassError):
    """A caller's request is wrong."""


class RefusedError(SiskinpassError):
    """A request was refused and not run."""


class BackendError(SiskinpassError):
    """A backend server failed."""


class ConnectError(BackendError):
    """No byte of the request reached a backend server."""


class TreeError(SiskinpassError):
    """A settings tree or an edit to it is wrong."""


class StoreError(SiskinpassError):
    """The object store did not answer as asked."""


class StoreConflictError(StoreError):
    """The object has another version than the one expected."""


class StoreUnconfirmedError(StoreError):
    """A write may or may not have taken effect."""


class FormatError(SiskinpassError):
    """A document from outside cannot be read."""


class SettingsError(SiskinpassError):
    """A process setting is wrong."""
