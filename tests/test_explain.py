"""Test that the logs alone explain why a request failed."""

import asyncio
import io
import sys
from types import SimpleNamespace

import pytest

from bench.fleet import KEY, config, running_fleet, wait_until
from siskinpass.cli_explain import STATUS_UNKNOWN, explain
from siskinpass.process.request_timeline import build_timeline, read_log

CALL_ID = 'the-one'
OTHER_COUNT = 40


async def cut_by_crash(fleet):
    """Cut a stream that must not be resumed."""
    for server in fleet.servers:
        server.faults.cuts = 1
    parts = 'X-Prompt-Prefix: aa:10,bb:20,cc:5\r\n'
    answer = await fleet.ask('/plain-stream/x', call=CALL_ID, more=parts)
    assert not answer.is_whole


async def refused_under_load(fleet):
    """Fill every slot, so that another request waits until it is refused."""
    for server in fleet.servers:
        server.faults.silent = OTHER_COUNT
    tasks = [
        asyncio.ensure_future(fleet.ask('/once/x', call=f'other-{number}'))
        for number in range(OTHER_COUNT)
    ]
    await wait_until(lambda: len(fleet.runs) >= 18, 'all slots to be taken')
    answer = await fleet.ask('/once/x', call=CALL_ID)
    assert answer.status == 503
    for task in tasks:
        task.cancel()


async def refused_after_key_removed(fleet):
    """Remove the caller's key from the configuration."""
    changed = config(4) | {'tenants': [{'name': 'w', 'api-keys': ['new']}]}
    await fleet.store.put('config', 'main', changed)

    async def is_refused():
        answer = await fleet.ask('/once/x', call='probe')
        return answer.status == 401

    await wait_until(is_refused, 'the removal of the key')
    answer = await fleet.ask('/once/x', call=CALL_ID, key=KEY)
    assert answer.status == 401


async def timeline_after(fail):
    """Return the timeline of a request that was made to fail."""
    async with running_fleet() as fleet:
        await fail(fleet)
        await asyncio.sleep(0.2)
        return build_timeline(tuple(read_log(fleet.log.splitlines())), CALL_ID)


class TestTimelineOfFailures:
    """Test on running instances that the timeline shows the cause."""

    @pytest.mark.parametrize(
        ('fail', 'expected'),
        [
            (
                cut_by_crash,
                [
                    'A request goes to a server',
                    'ending=cut',
                    'step=cut',
                    "parts=['aa', 'bb']",
                    'head_age_ms=',
                ],
            ),
            (
                refused_under_load,
                ['A request was refused', 'reason=wait_too_long'],
            ),
            (
                refused_after_key_removed,
                [
                    'reason=unknown_key',
                    'A configuration is in force. version=4',
                ],
            ),
        ],
    )
    def test_timeline_names_the_cause(self, fail, expected):
        """The timeline names the cause and the instance, but no other calls."""
        timeline = asyncio.run(asyncio.wait_for(timeline_after(fail), 60))
        text = '\n'.join(timeline)
        for words in expected:
            assert words in text
        assert 'front-1' in timeline[0]
        assert 'other-' not in text

    def test_request_that_waited_did_not_run(self):
        """A request that was refused while queued was sent to no server."""
        timeline = asyncio.run(
            asyncio.wait_for(timeline_after(refused_under_load), 60)
        )
        assert not [line for line in timeline if 'goes to a server' in line]


LOG = b"""
  1.2 front-2 {"timestamp": 2.0, "instance": "f-2", "text": "An attempt failed.",
{"timestamp": 2.5, "instance": "f-2", "message_type": "forward:note", "text": "An attempt failed.", "call": "a", "server": "e-1", "ending": "cut"}
{"timestamp": 2.0, "instance": "f-2", "message_type": "forward:note", "text": "A request goes to a server.", "call": "a", "server": "e-1"}
{"timestamp": 2.6, "instance": "f-3", "message_type": "forward:note", "text": "An attempt failed.", "call": "b", "server": "e-1"}
{"timestamp": 2.6, "instance": "f-3", "message_type": "forward:note", "text": "A stream was cut.", "call": "b", "server": "e-1"}
{"timestamp": 9.6, "instance": "f-3", "message_type": "forward:note", "text": "An attempt failed.", "call": "c", "server": "e-1"}
{"timestamp": 2.7, "instance": "f-3", "message_type": "state:note", "text": "A server has no entry any more.", "server": "e-1"}
{"timestamp": 2.8, "instance": "f-3", "message_type": "state:note", "text": "A server has no entry any more.", "server": "e-2"}
{"timestamp": 2.1, "instance": "f-2", "message_type": "store:warning", "text": "The store does not answer."}
{"timestamp": 2.1, "instance": "f-3", "message_type": "store:warning", "text": "The store does not answer."}
not json
{"other": 5}
"""  # noqa: E501


class TestParsedLogs:
    """Test the timeline built from given log lines of several instances."""

    def test_own_lines_precede_context(self):
        """The request's lines come in order of time, then those around them."""
        timeline = build_timeline(tuple(read_log(LOG.splitlines())), 'a')
        assert [line.split(' s ')[0].strip() for line in timeline[:2]] == [
            '+0.000',
            '+0.500',
        ]
        assert timeline[2:] == [
            'Around it:',
            '  +0.100 s f-2 The store does not answer.',
            '  +0.700 s f-3 A server has no entry any more. server=e-1',
            'Within 2 s at e-1: 1 others failed',
        ]

    def test_unknown_id(self, monkeypatch):
        """An id that is not in the logs ends the command with status 1."""
        monkeypatch.setattr(
            sys, 'stdin', SimpleNamespace(buffer=io.BytesIO(LOG))
        )
        with pytest.raises(SystemExit) as ended:
            explain('nobody')
        assert ended.value.code == STATUS_UNKNOWN

    def test_known_id(self, monkeypatch, capsys):
        """The timeline is written to standard output."""
        monkeypatch.setattr(
            sys, 'stdin', SimpleNamespace(buffer=io.BytesIO(LOG))
        )
        explain('a')
        assert capsys.readouterr().out.startswith('  +0.000 s f-2 A request')
