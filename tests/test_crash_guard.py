"""Test how instances agree on the prompt parts that crash servers."""

import asyncio
import time

import orjson
import pytest

from siskinpass.codes import Code
from siskinpass.exceptions import (
    ConnectError,
    RefusedError,
    StoreConflictError,
)
from siskinpass.platform.objects import StoredObject
from siskinpass.platform.part_records import (
    PARTS_KIND,
    decode_record,
    encode_record,
    record_name,
)
from siskinpass.process.blocked_parts import BLOCK_S, BlockedParts
from siskinpass.process.crash_evidence import BEGUN_WEIGHT, BrokenRequest
from siskinpass.process.fleet import crash_guard, part_records
from siskinpass.process.fleet.fact_topics import (
    BLAMED,
    BLOCKED,
    BROKEN,
    CLEARED,
)
from siskinpass.process.fleet.server_access import AccessParts, ServerAccess
from siskinpass.process.fleet.watch import Listed
from siskinpass.process.membership import Member
from siskinpass.process.metrics import Metrics
from siskinpass.request.identity import PREFIX
from siskinpass.request.ticket import ServerView

BAD = 'bad'
SYS = 'sys'
RUN_MS = 100
CRASH_MS = 1000
IDLE_CLOSE_S = 0.02
TIME_SCALE = 0.1  # of the guard's waits, to keep the tests short


class Backends:
    """Servers of which none runs any more."""

    def reuse(self, address):
        """Return no idle connection."""

    async def connect(self, address, *, fresh):
        raise ConnectError(Code.backend_unreachable) from ConnectionRefusedError


class SilentBackends(Backends):
    """Servers behind a path that carries nothing."""

    async def connect(self, address, *, fresh):
        raise ConnectError(Code.backend_unreachable) from TimeoutError


class ClosingBackends(Backends):
    """Servers that end, whose idle connections are closed a little later."""

    def __init__(self):
        self._closed_s = asyncio.get_running_loop().time() + IDLE_CLOSE_S

    def give_back(self):
        """Take back an idle connection that is still open."""

    def reuse(self, address):
        is_open = asyncio.get_running_loop().time() < self._closed_s
        return self if is_open else None


class Store:
    """Store that keeps the records.

    :ivar records: bodies by name.
    """

    def __init__(self):
        self.records = {}

    async def create(self, kind, name, body):
        if name in self.records:
            raise StoreConflictError(Code.tree_conflict)
        await self.replace(kind, name, body)

    async def replace(self, kind, name, body):
        self.records[name] = orjson.loads(orjson.dumps(body))

    async def delete(self, kind, name):
        self.records.pop(name, None)

    @property
    def broken_parts(self):
        """Return the parts of the recorded requests."""
        return {
            part
            for name, body in self.records.items()
            if name.startswith('broken')
            for part in decode_record(name, body).parts
        }


def access_without_others(backends):
    """Return the access to servers of the only instance there is."""
    own = Member('front-1', '127.0.0.1:1')
    return ServerAccess(
        AccessParts(backends, None, own, 'key', lambda: [own], None, None)
    )


class Bus:
    """Guards of some instances, and the announcements between them.

    :ivar lost: topics of which the last instance gets nothing.
    :ivar ended: servers that have ended, as each instance learns it.
    """

    def __init__(self, count, store, backends=None):
        self.lost = set()
        self.ended = []
        self.ports = [Port(self, number) for number in range(count)]
        self.guards = [
            crash_guard.CrashGuard(
                access_without_others(backends or Backends()).has_ended,
                store,
                port,
                lambda *server: self.ended.append(server),
                Metrics(),
            )
            for port in self.ports
        ]


class Port:
    """Announcements of one instance on a bus.

    :ivar receivers: functions of the instance by topic.
    """

    def __init__(self, bus, number):
        self._bus = bus
        self._number = number
        self.receivers = {}

    def subscribe(self, topic, receive):
        self.receivers[topic] = receive

    def announce(self, topic, payload):
        rows = orjson.loads(orjson.dumps(payload))
        for number, port in enumerate(self._bus.ports):
            is_last = number == len(self._bus.ports) - 1
            is_lost = topic in self._bus.lost and is_last
            if number != self._number and not is_lost:
                port.receivers[topic](rows)


def crash(number, *parts):
    """Return the request that a crash cut off, and its server."""
    server = ServerView(f'i-{number}', '127.0.0.1:1', 'app', incarnation=1)
    ended_ms = number * CRASH_MS
    request = BrokenRequest(
        f'c-{number}',
        f'{server.name}/1',
        parts,
        BEGUN_WEIGHT,
        ended_ms - RUN_MS,
        ended_ms,
    )
    return request, server


def report(guard, request, server):
    """Report a request that a crash cut off."""
    return asyncio.ensure_future(guard.note_broken(request, server))


def refuses(guard, *parts):
    """Return whether a guard refuses a prompt."""
    try:
        guard.check(parts)
    except RefusedError:
        return True
    return False


@pytest.fixture(autouse=True)
def _short_waits(monkeypatch):
    for module, name in (
        (crash_guard, 'CONTEST_S'),
        (part_records, 'RECORD_DELAY_S'),
        (part_records, 'RECORD_AGAIN_S'),
    ):
        scaled = getattr(module, name) * TIME_SCALE
        monkeypatch.setattr(module, name, scaled)


async def settle(waits=2):
    """Wait until all that is under way is decided and recorded."""
    await asyncio.sleep(
        waits * part_records.RECORD_DELAY_S + crash_guard.CONTEST_S + 0.1
    )


async def until_known(bus, ends):
    """Wait until all instances know how many servers have ended."""
    while len(bus.ended) < ends * len(bus.guards):
        await asyncio.sleep(0.001)


class TestAgreement:
    """Test instances that saw different things."""

    def test_sound_part_is_not_blocked_by_who_missed_its_answers(self):
        """One that heard only of crashes asks the others first."""

        async def scenario():
            bus = Bus(3, Store())
            bus.lost.add(CLEARED.name)
            for number in range(1, 4):
                report(bus.guards[0], *crash(number, SYS, BAD))
                await until_known(bus, number)
                bus.guards[1].clear((SYS, 'other'))
            bus.lost.clear()
            report(bus.guards[0], *crash(4, SYS))
            await settle()
            return [
                (refuses(guard, SYS, 'x'), refuses(guard, SYS, BAD))
                for guard in bus.guards
            ]

        assert asyncio.run(scenario()) == [(False, True)] * 3

    def test_idle_connection_about_to_close_hides_no_crash(self):
        """A server's end closes its connections one after the other."""

        async def scenario():
            guard = Bus(1, Store(), ClosingBackends()).guards[0]
            for number in range(1, 4):
                report(guard, *crash(number, BAD))
            await settle()
            return refuses(guard, BAD)

        assert asyncio.run(scenario())

    def test_all_learn_that_a_server_has_ended(self):
        """Each instance stops using it, not only the one that saw its end."""

        async def scenario():
            bus = Bus(3, Store())
            await bus.guards[0].note_broken(*crash(1, BAD))
            return bus.ended

        assert asyncio.run(scenario()) == [('i-1', 1)] * 3

    @pytest.mark.parametrize(
        ('backends', 'is_blocked'), [(SilentBackends, False), (Backends, True)]
    )
    def test_silent_path_blames_nothing(self, backends, is_blocked):
        """Only a refused connection shows that a server has ended."""

        async def scenario():
            guard = Bus(1, Store(), backends()).guards[0]
            for number in range(1, 6):
                await guard.note_broken(*crash(number, BAD))
            await settle()
            return refuses(guard, BAD)

        assert asyncio.run(scenario()) is is_blocked

    def test_requests_wait_for_the_decision(self):
        """A part that is blamed reaches no server meanwhile."""

        async def scenario():
            bus = Bus(1, Store())
            guard = bus.guards[0]
            for number in range(1, 4):
                report(guard, *crash(number, BAD))
            await until_known(bus, 3)
            await asyncio.wait_for(guard.admit((SYS, 'x')), 0.01)
            with pytest.raises(RefusedError):
                await guard.admit((SYS, BAD))

        asyncio.run(scenario())


class TestLostAnnouncements:
    """Test an instance that gets no announcement of crashes at all."""

    @pytest.mark.parametrize('name', [BAD, f'{PREFIX}0a1b'])
    def test_records_make_up_for_them(self, name):
        """It refuses what the others have blocked once it reads the store."""

        async def scenario():
            store = Store()
            bus = Bus(3, store)
            bus.lost.update((BROKEN.name, BLAMED.name, BLOCKED.name))
            for number in range(1, 4):
                await bus.guards[0].note_broken(*crash(number, name))
            await settle()
            before = [refuses(guard, name) for guard in bus.guards]
            stored = tuple(
                StoredObject(found, 1, body)
                for found, body in store.records.items()
            )
            bus.guards[-1].apply_store(Listed(stored))
            return before, refuses(bus.guards[-1], name)

        assert asyncio.run(scenario()) == ([True, True, False], True)


class TestRecords:
    """Test what instances that start later find in the store."""

    def test_cleared_parts_are_not_recorded(self):
        """A part that was sound meanwhile is no suspect for them."""

        async def scenario():
            store = Store()
            bus = Bus(1, store)
            guard = bus.guards[0]
            report(guard, *crash(1, SYS, BAD))
            report(guard, *crash(2, SYS))
            await until_known(bus, 2)
            guard.clear((SYS,))
            await settle()
            return store.broken_parts

        assert asyncio.run(scenario()) == {BAD}

    def test_parts_cleared_later_are_removed(self):
        """A record is written again with the parts that are left."""

        async def scenario():
            store = Store()
            guard = Bus(1, store).guards[0]
            report(guard, *crash(1, SYS, BAD))
            report(guard, *crash(2, SYS))
            await settle()
            before = store.broken_parts
            guard.clear((SYS,))
            await asyncio.sleep(part_records.RECORD_AGAIN_S + 0.1)
            return before, store.broken_parts, len(store.records)

        assert asyncio.run(scenario()) == ({SYS, BAD}, {BAD}, 1)

    @pytest.mark.parametrize('is_old', [True, False])
    @pytest.mark.parametrize('kind', [BlockedParts, BrokenRequest])
    def test_expired_records_are_removed(self, kind, is_old):
        """Whoever reads one that has expired removes it and ignores it."""

        async def scenario():
            store = Store()
            guard = Bus(1, store).guards[0]
            record = aged_record(kind, is_old=is_old)
            name = record_name(record)
            await store.create(PARTS_KIND, name, encode_record(record))
            stored = StoredObject(name, 1, store.records[name])
            guard.apply_store(Listed((stored,)))
            await asyncio.sleep(0.01)
            return list(store.records), len(guard.blocked)

        names, blocked = asyncio.run(scenario())
        assert bool(names) is not is_old
        assert blocked == (kind is BlockedParts and not is_old)


def aged_record(kind, *, is_old):
    """Return a record of one kind, of now or older than it may be."""
    now_s = time.time()
    if kind is BlockedParts:
        age_s = BLOCK_S if is_old else 0
        return BlockedParts(frozenset((BAD,)), now_s - age_s)
    age_s = part_records.EVIDENCE_S if is_old else 0
    ended_ms = int((now_s - age_s) * CRASH_MS)
    return BrokenRequest(
        'c', 'i-1/1', (BAD,), BEGUN_WEIGHT, ended_ms - RUN_MS, ended_ms
    )
