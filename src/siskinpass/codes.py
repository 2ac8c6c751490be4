"""Result codes of the responses that the router itself gives.

The first digit names the family: 1 for a request that is not valid, 2 for one
that was refused and not run, 3 for one that failed at a backend server, 4 for
the reason of a retry, 5 for operator requests and 6 for process settings.
A test compares ``docs/CODES.md`` with this table.
"""

import enum
from dataclasses import dataclass
from types import MappingProxyType


class Ran(enum.Enum):
    """Whether a backend server ran the request."""

    not_run = 'no'
    was_run = 'yes'
    unknown = 'unknown'


class Code(enum.IntEnum):
    """Result codes, as sent to callers and written to the log."""

    malformed_json = 1001
    header_too_large = 1002
    body_too_large = 1003
    malformed_head = 1004
    slow_sender = 1005
    body_cut_short = 1006
    duplicate_header = 1007
    unknown_key = 1008
    unknown_workspace = 1009
    unknown_class = 1010
    unknown_model = 1011
    unknown_path = 1012
    wrong_method = 1013
    wrong_field = 1014
    key_reused = 1015
    length_required = 1016

    queue_full = 2001
    wait_too_long = 2002
    shed_for_upper_tier = 2003
    instance_leaving = 2004
    no_backend_server = 2005
    no_tree_in_force = 2006
    claim_store_down = 2007
    claim_in_progress = 2008
    too_many_connections = 2009
    broker_lost = 2010
    servers_paused = 2011
    part_blocked = 2012
    servers_limited = 2013
    request_blocked = 2014
    request_suspected = 2015
    version_unknown = 2016
    version_gone = 2017
    workspace_share = 2018
    memory_full = 2020
    prompt_too_large = 2021

    backend_unreachable = 3001
    stream_cut = 3002
    stream_silent = 3003
    answer_crossed = 3004
    outcome_unknown = 3005
    backend_error = 3006
    retry_budget_spent = 3007
    already_ran = 3008
    caller_left = 3009

    retry_connect_failed = 4001
    retry_reset = 4002
    retry_stream_cut = 4003
    retry_stream_silent = 4004
    retry_paused = 4005
    retry_backend_leaving = 4006
    retry_broker_changed = 4007
    retry_answer_crossed = 4008
    retry_backend_slow = 4009
    retry_backend_failed = 4010

    tree_invalid = 5001
    tree_conflict = 5002
    store_down = 5003
    edit_unconfirmed = 5004
    operator_key_wrong = 5005
    unknown_node = 5006
    unknown_version = 5007
    document_wrong = 5008

    setting_wrong = 6001


@dataclass(frozen=True, slots=True)
class Meaning:
    """Meaning of one code.

    :param status: HTTP status of responses with the code, 0 where the code is
        not sent in a response.
    :param ran: whether a backend server ran the request.
    :param text: one short sentence for the caller.
    """

    status: int
    ran: Ran
    text: str


def _wrong(status: int, text: str) -> Meaning:
    return Meaning(status, Ran.not_run, text)


def _refused(text: str) -> Meaning:
    return Meaning(503, Ran.not_run, text)


def _retry(text: str) -> Meaning:
    return Meaning(0, Ran.unknown, text)


MEANINGS = MappingProxyType({
    Code.malformed_json: _wrong(400, 'The body is not a JSON object.'),
    Code.header_too_large: _wrong(431, 'The request head is too large.'),
    Code.body_too_large: _wrong(413, 'The body is too large.'),
    Code.malformed_head: _wrong(400, 'The request head is malformed.'),
    Code.slow_sender: _wrong(408, 'The request did not arrive in time.'),
    Code.body_cut_short: _wrong(400, 'The body ended too early.'),
    Code.duplicate_header: _wrong(400, 'A header is given twice.'),
    Code.unknown_key: _wrong(401, 'The API key is not known.'),
    Code.unknown_workspace: _wrong(403, 'The workspace is not for this key.'),
    Code.unknown_class: _wrong(400, 'The request class is not known.'),
    Code.unknown_model: _wrong(404, 'The model is not known.'),
    Code.unknown_path: _wrong(404, 'There is nothing at this path.'),
    Code.wrong_method: _wrong(405, 'The method is not for this path.'),
    Code.wrong_field: _wrong(400, 'A field has a wrong type or value.'),
    Code.key_reused: _wrong(
        422,
        'The idempotency key belongs to another request.',
    ),
    Code.length_required: _wrong(411, 'The body needs a Content-Length.'),
    Code.queue_full: _refused('The queue of this class is full.'),
    Code.wait_too_long: _refused('No slot is free within the class limit.'),
    Code.shed_for_upper_tier: _refused('Shed in favour of an upper tier.'),
    Code.instance_leaving: _refused('This instance is leaving.'),
    Code.no_backend_server: _refused('No backend server is available.'),
    Code.no_tree_in_force: _refused('No settings tree is in force yet.'),
    Code.claim_store_down: _refused('The claim store does not answer.'),
    Code.claim_in_progress: Meaning(
        409,
        Ran.unknown,
        'A request with this key is still open.',
    ),
    Code.too_many_connections: _refused('Too many connections are open.'),
    Code.broker_lost: _refused('The broker of the group does not answer.'),
    Code.servers_paused: _refused('All backend servers asked for a pause.'),
    Code.part_blocked: _refused(
        'A part of the prompt crashes backend servers.',
    ),
    Code.servers_limited: _refused(
        'The limits of all backend servers are used up.',
    ),
    Code.request_blocked: _refused('This request crashes backend servers.'),
    Code.request_suspected: _refused(
        'Backend servers ended under this request; none is idle to try it.',
    ),
    Code.version_unknown: _refused(
        'The software version that began the stream is not known.',
    ),
    Code.version_gone: _refused(
        'No server has the software version that began the stream.',
    ),
    Code.workspace_share: _refused(
        'The workspace has used its share of the servers.'
    ),
    Code.memory_full: _refused(
        'This instance holds too much for other requests.',
    ),
    Code.prompt_too_large: _refused(
        'The prompt is larger than the memory of a backend server.',
    ),
    Code.backend_unreachable: Meaning(
        502,
        Ran.not_run,
        'No backend server could be reached.',
    ),
    Code.stream_cut: Meaning(502, Ran.was_run, 'The answer was cut off.'),
    Code.stream_silent: Meaning(504, Ran.unknown, 'The answer fell silent.'),
    Code.answer_crossed: Meaning(
        502,
        Ran.unknown,
        'The answer was for another request.',
    ),
    Code.outcome_unknown: Meaning(
        502,
        Ran.unknown,
        'The request may have run; its outcome is not known.',
    ),
    Code.backend_error: Meaning(
        502,
        Ran.unknown,
        'The backend server answered with an error.',
    ),
    Code.retry_budget_spent: Meaning(
        502,
        Ran.unknown,
        'The retry budget of the class is spent.',
    ),
    Code.already_ran: Meaning(409, Ran.was_run, 'A request with this key ran.'),
    Code.caller_left: Meaning(0, Ran.unknown, 'The caller went away.'),
    Code.retry_connect_failed: _retry('The connection was refused.'),
    Code.retry_reset: _retry('The connection was reset before an answer.'),
    Code.retry_stream_cut: _retry('The stream was cut and is resumed.'),
    Code.retry_stream_silent: _retry('The stream was silent and is resumed.'),
    Code.retry_paused: _retry('The stream was paused for an upper tier.'),
    Code.retry_backend_leaving: _retry('The backend server is leaving.'),
    Code.retry_broker_changed: _retry('The ticket moved to another broker.'),
    Code.retry_answer_crossed: _retry('The answer was for another request.'),
    Code.retry_backend_slow: _retry('The backend server became slow.'),
    Code.retry_backend_failed: _retry('The backend server failed.'),
    Code.tree_invalid: _wrong(422, 'The tree has faults.'),
    Code.tree_conflict: _wrong(409, 'Another edit changed the same node.'),
    Code.store_down: _refused('The object store does not answer.'),
    Code.edit_unconfirmed: Meaning(
        503,
        Ran.unknown,
        'The edit may have been accepted; read it back.',
    ),
    Code.operator_key_wrong: _wrong(401, 'The operator key is wrong.'),
    Code.unknown_node: _wrong(404, 'The tree has no such node.'),
    Code.unknown_version: _wrong(404, 'The tree has no such version.'),
    Code.document_wrong: _wrong(0, 'A document cannot be read.'),
    Code.setting_wrong: _wrong(0, 'A process setting is wrong.'),
})
