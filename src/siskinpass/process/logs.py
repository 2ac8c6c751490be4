"""Write structured logs, each with the fixed prefix of its part."""

import sys
from typing import Any, TextIO

import eliot


class PartLog:
    """Log for one part of the process.

    :param part: fixed prefix, as ``relay`` or ``tree``.
    """

    def __init__(self, part: str) -> None:
        """Keep the prefix."""
        self._part = part

    def note(self, sentence: str, **fields: Any) -> None:
        """Log one short sentence."""
        eliot.log_message(
            message_type=f'{self._part}:note',
            text=sentence,
            **fields,
        )

    def warn(self, sentence: str, **fields: Any) -> None:
        """Log one short sentence that an operator should see."""
        eliot.log_message(
            message_type=f'{self._part}:warning',
            text=sentence,
            **fields,
        )


def start_logs(stream: TextIO = sys.stderr) -> None:
    """Send the logs to a stream as JSON lines."""
    eliot.to_file(stream)
