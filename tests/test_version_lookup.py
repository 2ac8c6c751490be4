"""Test what one instance makes of take-ups of streams it does not know."""

import asyncio

import pytest

from siskinpass.codes import Code
from siskinpass.exceptions import RefusedError, StoreError
from siskinpass.process.fleet import stream_versions
from siskinpass.process.metrics import Metrics
from siskinpass.process.version_history import (
    StreamBegun,
    VersionServed,
    stream_name,
)
from siskinpass.request.ticket import ServerView

START_S = 1000.0
CALL = 'call'


class Clock:
    """Time of day that a test sets."""

    def __init__(self):
        self.now_s = START_S

    def time(self):
        """Return the time that was set."""
        return self.now_s


class Records:
    """Records of a store.

    :ivar reads: how often they were read.
    """

    def __init__(self, streams=(), versions=(), *, served=(), is_down=False):
        self._served = served
        self._streams = list(streams)
        self._versions = list(versions)
        self._is_down = is_down
        self.reads = 0

    async def read_served(self):
        """Return the versions that the registry lists."""
        if self._is_down:
            raise StoreError(Code.store_down)
        return frozenset(self._served)

    async def load(self):
        """Return the records, or fail as the store does."""
        self.reads += 1
        if self._is_down:
            raise StoreError(Code.store_down)
        return self._streams, self._versions

    async def write_version(self, fact):
        """Accept the record of a version."""


class SlowRecords(Records):
    """Records that are returned as they were when a read began.

    :ivar has_begun: set once a read has begun.
    :ivar may_end: set to let reads end.
    """

    def __init__(self):
        super().__init__()
        self.has_begun = asyncio.Event()
        self.may_end = asyncio.Event()

    def add(self, stream):
        """Record a stream."""
        self._streams.append(stream)

    async def load(self):
        """Return the records once the read may end."""
        streams, versions = await super().load()
        found = list(streams)
        self.has_begun.set()
        await self.may_end.wait()
        return found, versions


@pytest.fixture
def clock(monkeypatch):
    """Replace the time of day, and shorten the wait between two reads."""
    made = Clock()
    monkeypatch.setattr(stream_versions, 'time', made)
    monkeypatch.setattr(stream_versions, 'LOOKUP_AGAIN_S', 0.01)
    return made


def make(records, *, is_connected=True, hears_others=True, is_first_start=True):
    """Return the owner of an instance before servers of version v1."""
    sources = stream_versions.VersionSources(
        services=lambda: frozenset(('app',)),
        groups=lambda: frozenset((frozenset(('app',)),)),
        names=lambda: ['a'],
        is_connected=lambda: is_connected,
        hears_others=lambda: hears_others,
        read_served=records.read_served,
        era=lambda: 1,
        announce=lambda streams: None,
        announce_unrecorded=lambda streams: None,
    )
    made = stream_versions.StreamVersions(
        'a', records, sources, Metrics(), is_first_start=is_first_start
    )
    made.list_servers([ServerView('i', '1.1.1.1:1', 'app', version='v1')])
    return made


async def resolved(versions):
    """Return the version that began the stream, ``None`` if refused."""
    try:
        found = await versions.resolve(CALL, ['app'])
    except RefusedError as error:
        assert error.code is Code.version_unknown
        return None
    return found.version


async def settle():
    """Let what was started in the background run to its end."""
    for _ in range(10):
        await asyncio.sleep(0)


BEGUN = StreamBegun(stream_name(CALL), 'app', 'v2', START_S)
OTHER = VersionServed('app', 'v2', START_S)


class TestUnknownStream:
    """Test when the only known version may be taken for that of a stream."""

    @pytest.mark.parametrize(
        ('more', 'records', 'expected', 'reads'),
        [
            ({}, {}, 'v1', 1),
            ({}, {'streams': [BEGUN]}, 'v2', 1),
            ({}, {'served': [('app', 'v2')]}, None, 2),
            ({}, {'is_down': True}, 'v1', 1),
            ({'hears_others': False}, {}, 'v1', 1),
            ({'hears_others': False}, {'is_down': True}, None, 2),
            ({'is_first_start': False}, {}, 'v1', 1),
            ({'is_first_start': False}, {'versions': [OTHER]}, None, 2),
            ({'is_first_start': False}, {'streams': [BEGUN]}, 'v2', 1),
            ({'is_first_start': False}, {'is_down': True}, None, 2),
            ({'is_connected': False}, {}, None, 2),
        ],
    )
    def test_what_is_known(self, clock, more, records, expected, reads):
        """Not if others may have served, as far as the instance can know."""

        async def scenario():
            known = Records(**records)
            version = await resolved(make(known, **more))
            return version, known.reads

        assert asyncio.run(scenario()) == (expected, reads)

    @pytest.mark.parametrize(
        ('gap_s', 'expected'),
        [
            (0.0, 'v2'),
            (1.5, 'v2'),
            (2.5, 'v2'),
        ],
    )
    def test_process_that_stood_still(self, clock, gap_s, expected):
        """It may have missed that another version began to serve."""

        async def scenario():
            versions = make(Records([BEGUN]))
            clock.now_s += gap_s
            return await resolved(versions)

        assert asyncio.run(scenario()) == expected

    def test_take_ups_at_the_same_time_share_a_read(self, clock):
        """The store is asked once for all of them."""

        async def scenario():
            records = Records([BEGUN])
            versions = make(records, is_first_start=False)
            found = await asyncio.gather(*(resolved(versions) for _ in 'abcde'))
            return set(found), records.reads

        assert asyncio.run(scenario()) == ({'v2'}, 1)

    def test_read_that_began_before_the_take_up(self, clock):
        """It misses what was recorded since, so that another one follows."""

        async def scenario():
            records = SlowRecords()
            versions = make(records)
            early = asyncio.create_task(resolved(versions))
            await records.has_begun.wait()
            records.add(BEGUN)
            late = asyncio.create_task(resolved(versions))
            await asyncio.sleep(0)
            records.may_end.set()
            return await asyncio.gather(early, late)

        assert asyncio.run(scenario()) == ['v1', 'v2']

    def test_announced_stream_shows_another_version(self, clock):
        """One that is not listed here yet may have begun others too."""

        async def scenario():
            versions = make(Records())
            versions.receive([StreamBegun('other', 'app', 'v2', START_S)])
            return await resolved(versions)

        assert asyncio.run(scenario()) is None


class TestProcessThatStoodStill:
    """Test that what it may have missed is read before a caller asks."""

    @pytest.mark.parametrize(
        ('gaps_s', 'is_down', 'reads'),
        [
            pytest.param((0.4, 0.4, 0.4), False, 0, id='ran all the time'),
            pytest.param((2.5, 0.4, 0.4), False, 1, id='stood still once'),
            pytest.param((2.5, 0.4, 2.5), False, 2, id='stood still twice'),
            pytest.param((2.5, 0.4, 0.4), True, 1, id='no answer yet'),
            pytest.param((2.5, 0.4, 0.4, 0.4), True, 2, id='asks once more'),
        ],
    )
    def test_reads_the_records_again(self, clock, gaps_s, is_down, reads):
        """Without a take-up, at most once in ``READ_RETRY_S``."""

        async def scenario():
            records = Records(is_down=is_down)
            versions = make(records)
            for gap_s in gaps_s:
                clock.now_s += gap_s
                versions.refresh()
                await settle()
            return records.reads

        assert asyncio.run(scenario()) == reads
