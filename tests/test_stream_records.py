"""Test the records about streams and software versions."""

import asyncio
import time

import orjson
import pytest

from siskinpass.codes import Code
from siskinpass.exceptions import (
    FormatError,
    StoreConflictError,
    StoreError,
)
from siskinpass.platform.objects import Page, StoredObject
from siskinpass.platform.stream_records import (
    decode_stream_record,
    encode_streams,
    encode_version,
    version_record_name,
)
from siskinpass.process.fleet.stream_records import StreamRecords
from siskinpass.process.version_history import (
    STREAM_LIFE_S,
    StreamBegun,
    VersionServed,
)

VERSION = VersionServed('app', 'v1', 0.0)
STREAM = StreamBegun('s', 'app', 'v1', 0.0)


class Store:
    """Store that keeps the records.

    :ivar records: bodies by name.
    """

    def __init__(self):
        self.records = {}

    async def list_kind(self, kind):
        stored = [
            StoredObject(name, 1, body) for name, body in self.records.items()
        ]
        return Page(tuple(stored), 1)

    async def create(self, kind, name, body):
        if name in self.records:
            raise StoreConflictError(Code.tree_conflict)
        self.records[name] = orjson.loads(orjson.dumps(body))

    async def replace(self, kind, name, body):
        if name not in self.records:
            raise StoreError(Code.store_down, 'status 404')
        self.records[name] = orjson.loads(orjson.dumps(body))

    async def delete(self, kind, name):
        self.records.pop(name, None)


class TestFormat:
    """Test how records are written and read."""

    def test_records_are_read_as_they_were_written(self):
        """Streams count from when they were written, versions as of now."""
        body = orjson.loads(orjson.dumps(encode_streams([STREAM], 12.5)))
        record = decode_stream_record('streams-a', body)
        assert record.streams == (StreamBegun('s', 'app', 'v1', 12.5),)
        served = decode_stream_record('version-a', encode_version(VERSION))
        assert (served.service, served.version) == ('app', 'v1')
        assert abs(served.at_s - time.time()) < STREAM_LIFE_S

    @pytest.mark.parametrize(
        'body',
        [
            None,
            {},
            {'service': 'app'},
            {'service': 'app', 'version': 1},
            {'service': 'app', 'version': 'v1', 'baseline-era': -1},
            {'service': 'app', 'version': 'v1', 'baseline-era': '1'},
            {'streams': []},
            {'streams': {}, 'written-s': 1.0},
            {'streams': [['s', 'app']], 'written-s': 1.0},
            {'streams': [['s', 'app', 1]], 'written-s': 1.0},
            {'streams': ['abc'], 'written-s': 1.0},
        ],
    )
    def test_unreadable_records(self, body):
        """Missing fields and wrong types are reported."""
        with pytest.raises(FormatError):
            decode_stream_record('name', body)

    @pytest.mark.parametrize(
        ('more', 'era'), [({}, 0), ({'baseline-era': 3}, 3)]
    )
    def test_record_of_a_baseline(self, more, era):
        """Builds that know no baselines do not write its era."""
        body = {'service': 'app', 'version': 'v1'} | more
        assert decode_stream_record('version-a', body).baseline_era == era

    def test_name_of_a_version(self):
        """It is the same on all instances, and no two versions share one."""
        others = [
            VersionServed('app', 'v2', 0.0),
            VersionServed('appv1', '', 0.0),
        ]
        names = {version_record_name(one) for one in (VERSION, *others)}
        later = VersionServed('app', 'v1', 9.0)
        assert len(names) == 3
        assert version_record_name(later) == version_record_name(VERSION)


class TestStore:
    """Test what becomes of records in the store."""

    def test_process_does_not_overwrite_the_one_before(self):
        """Streams of both are read."""

        async def scenario():
            store = Store()
            for name in ('s', 't'):
                stream = StreamBegun(name, 'app', 'v1', 0.0)
                await StreamRecords(store, 'front-1').write_streams([stream])
                await asyncio.sleep(0.002)
            streams, _ = await StreamRecords(store, 'front-1').load()
            return {one.stream for one in streams}

        assert asyncio.run(scenario()) == {'s', 't'}

    def test_record_that_a_copy_lacks(self):
        """It is created again with the next write but one."""

        async def scenario():
            store = Store()
            records = StreamRecords(store, 'front-1')
            await records.write_streams([STREAM])
            store.records.clear()
            with pytest.raises(StoreError):
                await records.write_streams([STREAM])
            await records.write_streams([STREAM])
            return len(store.records)

        assert asyncio.run(scenario()) == 1

    @pytest.mark.parametrize(
        ('age_s', 'is_kept'), [(0.0, True), (STREAM_LIFE_S, False)]
    )
    def test_expired_records_are_removed(self, age_s, is_kept):
        """Whoever reads one that has expired removes it and ignores it."""

        async def scenario():
            store = Store()
            written_s = time.time() - age_s
            body = orjson.dumps(encode_streams([STREAM], written_s))
            store.records['streams-x'] = orjson.loads(body)
            streams, _ = await StreamRecords(store, 'front-1').load()
            await asyncio.sleep(0.01)
            return len(streams), len(store.records)

        assert asyncio.run(scenario()) == (is_kept, is_kept)

    def test_unreadable_records_are_ignored(self):
        """Another writer's record hides no other."""

        async def scenario():
            store = Store()
            store.records['streams-x'] = {'streams': 7}
            await StreamRecords(store, 'front-1').write_version(VERSION)
            return await StreamRecords(store, 'front-1').load()

        streams, versions = asyncio.run(scenario())
        assert not streams
        assert [one.version for one in versions] == ['v1']
