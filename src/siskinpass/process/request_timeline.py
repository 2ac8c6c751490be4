"""Reconstruct from the logs of all instances what happened to one request.

Pure logic without I/O.
"""

from collections import defaultdict
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from typing import Any

import orjson

from siskinpass.codes import MEANINGS, Code

# Events at the request's servers and instance up to this long before its first
# and after its last line are shown, because they may be related.
CONTEXT_S = 2.0
# Fields that every line has and that are shown elsewhere or not specific to a
# request.
COMMON_FIELDS = frozenset(
    (
        'timestamp',
        'task_uuid',
        'task_level',
        'message_type',
        'text',
        'instance',
        'call',
    ),
)
# Components whose lines are shown as context: those about a server of the
# request, and those of the request's instance that name no server.
SERVER_COMPONENTS = frozenset(('state',))
INSTANCE_COMPONENTS = frozenset(('state', 'store', 'node'))
# Sentences that are logged when a request fails. They are used both to write
# the log and to find these lines.
ATTEMPT_FAILED = 'An attempt failed.'
STREAM_CUT = 'A stream was cut.'
REQUEST_REFUSED = 'A request was refused.'
FAILURES = frozenset((ATTEMPT_FAILED, STREAM_CUT, REQUEST_REFUSED))


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a log.

    :param at_s: Unix time.
    :param instance: instance that wrote it, empty where unknown.
    :param component: component of the process that wrote it.
    :param text: the logged sentence.
    :param fields: all fields of the line, including those above.
    """

    at_s: float
    instance: str
    component: str
    text: str
    fields: dict[str, Any] = field(default_factory=dict)

    @property
    def call(self) -> str:
        """Return the id of its request, empty if it belongs to none."""
        return str(self.fields.get('call', ''))

    @property
    def server(self) -> str:
        """Return the backend server that it names, empty if it names none."""
        return str(self.fields.get('server', ''))

    @property
    def is_failure(self) -> bool:
        """Return whether it reports that an attempt or a request failed."""
        return self.text in FAILURES


def read_log(lines: Iterable[bytes]) -> Iterator[LogLine]:
    """Parse log lines, and skip lines that are not in the log's format.

    :param lines: lines as written; text before the JSON object, such as a
        prefix that another program added, is ignored.
    """
    for line in lines:
        start = line.find(b'{')
        try:
            record = orjson.loads(line[start:]) if start >= 0 else None
        except orjson.JSONDecodeError:
            continue
        if isinstance(record, dict) and 'timestamp' in record:
            yield LogLine(
                at_s=float(record['timestamp']),
                instance=str(record.get('instance', '')),
                component=str(record.get('message_type', '')).partition(':')[0],
                text=str(record.get('text', '')),
                fields=record,
            )


def build_timeline(log: Sequence[LogLine], call_id: str) -> list[str]:
    """Return what the logs contain about one request.

    Its own lines come first, then events at its instance and servers around
    that time, each in order of time. The last lines state how many other
    requests failed at the same servers.

    :param call_id: the caller's id of its attempt.
    :returns: lines of text, empty where the id is not in the logs.
    """
    own = sorted(
        (line for line in log if line.call == call_id),
        key=lambda line: line.at_s,
    )
    if not own:
        return []
    start_s = own[0].at_s
    lines = [_format_line(line, start_s) for line in own]
    context = [line for line in log if _is_context(line, own)]
    context.sort(key=lambda line: line.at_s)
    if context:
        lines.append('Around it:')
        lines.extend(_format_line(line, start_s) for line in context)
    lines.extend(_count_others(log, own))
    return lines


def _is_context(line: LogLine, own: Sequence[LogLine]) -> bool:
    if line.call:
        return False
    first, last = own[0], own[-1]
    if not first.at_s - CONTEXT_S <= line.at_s <= last.at_s + CONTEXT_S:
        return False
    if line.server:
        servers = {other.server for other in own}
        return line.component in SERVER_COMPONENTS and line.server in servers
    return (
        line.component in INSTANCE_COMPONENTS
        and line.instance == first.instance
    )


def _count_others(log: Sequence[LogLine], own: Sequence[LogLine]) -> list[str]:
    """Describe how many other requests failed at the same servers."""
    failures = {line.server: line.at_s for line in own if line.is_failure}
    others: defaultdict[str, set[str]] = defaultdict(set)
    for line in log:
        failed_s = failures.get(line.server)
        if failed_s is None or not line.server or not line.is_failure:
            continue
        if line.call != own[0].call and abs(line.at_s - failed_s) <= CONTEXT_S:
            others[line.server].add(line.call)
    return [
        f'Within {CONTEXT_S:.0f} s at {server}: {len(calls)} others failed'
        for server, calls in others.items()
    ]


def _format_line(line: LogLine, start_s: float) -> str:
    fields = ' '.join(
        f'{name}={content}'
        for name, content in line.fields.items()
        if name not in COMMON_FIELDS and content != ''
    )
    text = f'{line.at_s - start_s:+8.3f} s {line.instance} {line.text} {fields}'
    return f'{text.rstrip()}{_meaning(line)}'


def _meaning(line: LogLine) -> str:
    number = line.fields.get('code')
    if number not in set(Code):
        return ''
    return f' ({MEANINGS[Code(number)].text})'
