"""Exception hierarchy of the package."""

from siskinpass.codes import MEANINGS, Code


class SiskinpassError(Exception):
    """Base class of all exceptions that the package raises deliberately.

    :param code: the result code.
    :param detail: what went wrong, for the log and the caller; the text of the
        code is used where it is empty.
    :param retry_after_ms: when to retry, 0 where that does not help.
    :param address: another instance to use, empty where that does not help.
    """

    def __init__(
        self,
        code: Code,
        detail: str = '',
        retry_after_ms: int = 0,
        address: str = '',
    ) -> None:
        """Use the detail as the message, or else the text of the code."""
        super().__init__(detail or MEANINGS[code].text)
        self.code = code
        self.retry_after_ms = retry_after_ms
        self.address = address


class RequestError(SiskinpassError):
    """A caller's request is not valid."""


class RefusedError(SiskinpassError):
    """A request was refused and not run."""


class BackendError(SiskinpassError):
    """A request failed at a backend server."""


class ConnectError(BackendError):
    """No connection to a backend server; no byte of the request reached it."""


class TreeError(SiskinpassError):
    """A settings tree, or an edit to it, is not valid."""


class StoreError(SiskinpassError):
    """The object store did not answer or could not do what was requested."""


class StoreSilentError(StoreError):
    """The object store did not answer a read in time.

    A new connection may reach it at once.
    """


class StoreConflictError(StoreError):
    """A conditional write found another version than the expected one."""


class StoreUnconfirmedError(StoreError):
    """It is unknown whether a write took effect."""


class LeaseLostError(SiskinpassError):
    """The lease does not certainly hold; nothing was sent."""


class FormatError(SiskinpassError):
    """A document from another system cannot be parsed."""


class SettingsError(SiskinpassError):
    """A setting of the process is missing or not valid."""
