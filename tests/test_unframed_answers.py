"""Test answers with neither a length nor chunks, which end by their close."""

import pytest

from tests.test_fleet import WHOLE, run_scenario


class TestUnframed:
    """Test what callers get of such answers."""

    @pytest.mark.parametrize(
        ('path', 'cuts', 'is_whole', 'runs'),
        [
            ('/plain-stream/x', 0, True, 1),
            ('/plain-stream/x', 1, False, 1),
            ('/stream/stream', 0, True, 1),
            ('/stream/stream', 1, True, 2),
        ],
    )
    def test_stream_that_ends_inside_an_event_is_broken_off(
        self, path, cuts, is_whole, runs
    ):
        """It is resumed or cut; one that ends after an event is whole."""

        async def scenario(fleet):
            for server in fleet.servers:
                server.is_framed = False
            fleet.servers[0].faults.cuts = cuts
            answer = await fleet.ask(path)
            assert answer.is_whole is is_whole
            assert (answer.body == WHOLE) is is_whole
            assert WHOLE.startswith(answer.body.rstrip())
            assert len(fleet.runs) == runs

        run_scenario(scenario)

    def test_resumed_stream_without_any_event_is_broken_off(self):
        """A close that brings nothing more does not complete the stream."""

        async def scenario(fleet):
            for server in fleet.servers:
                server.is_framed = False
            fleet.servers[0].faults.cuts = 1
            fleet.servers[1].faults.empties = 1
            answer = await fleet.ask('/stream/stream')
            assert len(fleet.runs) == 2
            assert not answer.is_whole

        run_scenario(scenario)

    @pytest.mark.parametrize('path', ['/once/x', '/safe/x'])
    def test_plain_answer_is_whole_at_its_close(self, path):
        """The caller gets it with the receipt and a length."""

        async def scenario(fleet):
            for server in fleet.servers:
                server.is_framed = False
            answer = await fleet.ask(path)
            assert (answer.status, len(fleet.runs)) == (200, 1)
            assert answer.header('X-Server-Seal')
            assert int(answer.header('Content-Length')) == len(answer.body)
            assert b'"body":"body"' in answer.body

        run_scenario(scenario)
