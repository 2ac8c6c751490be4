"""Test streams whose first events wait until they are recorded."""

import asyncio

import pytest

from siskinpass.process.fleet import stream_output
from siskinpass.request.inbound import AnswerHead

HEAD = AnswerHead(200)


class Caller:
    """Caller that records what is sent to it.

    :ivar sent: calls and pieces, in order.
    """

    def __init__(self):
        self.sent = []
        self.is_open = True

    def start_stream(self, status, headers):
        self.sent.append('head')

    def write_piece(self, piece):
        self.sent.append(piece)

    def end_stream(self):
        self.sent.append('end')

    def truncate_stream(self):
        self.sent.append('cut')


@pytest.fixture(autouse=True)
def _short_hold(monkeypatch):
    monkeypatch.setattr(stream_output, 'MAX_HOLD_S', 0.02)


def play(scenario):
    """Play a scenario with a stream that has two events to send."""

    async def run():
        caller = Caller()
        output = stream_output.StreamOutput(caller)
        recorded = asyncio.get_running_loop().create_future()
        await scenario(caller, output, recorded)
        return caller.sent

    return asyncio.run(run())


class TestHeldStream:
    """Test when the events of a stream are sent."""

    def test_stream_without_a_record(self):
        """Its events are sent as they arrive."""

        async def scenario(caller, output, recorded):
            output.start(HEAD, None)
            output.write(b'1')
            assert caller.sent == ['head', b'1']
            output.end()

        assert play(scenario) == ['head', b'1', 'end']

    def test_events_wait_for_the_record(self):
        """Nothing is sent before it, and all in order after it."""

        async def scenario(caller, output, recorded):
            output.start(HEAD, recorded)
            output.write(b'1')
            output.write(b'2')
            await asyncio.sleep(0)
            assert not caller.sent
            recorded.set_result(None)
            await asyncio.sleep(0)
            output.write(b'3')

        assert play(scenario) == ['head', b'1', b'2', b'3']

    def test_slow_store(self):
        """The events are not held for long."""

        async def scenario(caller, output, recorded):
            output.start(HEAD, recorded)
            output.write(b'1')
            await asyncio.sleep(0.1)
            output.write(b'2')
            recorded.set_result(None)
            await asyncio.sleep(0)

        assert play(scenario) == ['head', b'1', b'2']

    @pytest.mark.parametrize(
        ('ending', 'last'), [('end', 'end'), ('truncate', 'cut')]
    )
    def test_end_before_the_record(self, ending, last):
        """What has arrived is sent, once, before the end."""

        async def scenario(caller, output, recorded):
            output.start(HEAD, recorded)
            output.write(b'1')
            getattr(output, ending)()
            recorded.set_result(None)
            await asyncio.sleep(0.1)

        assert play(scenario) == ['head', b'1', last]

    def test_caller_that_has_left(self):
        """Nothing is sent to it."""

        async def scenario(caller, output, recorded):
            output.start(HEAD, recorded)
            output.write(b'1')
            caller.is_open = False
            recorded.set_result(None)
            await asyncio.sleep(0)

        assert not play(scenario)
