"""Measure the slopes from which the capacity page is worked out."""

import asyncio
import gc
import random
import resource
import statistics
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import orjson

from bench import overhead
from bench.cluster import free_address
from siskinpass.process.broker import Broker, BrokerPolicy
from siskinpass.process.broker_client import BrokerClient
from siskinpass.process.codec import (
    decode_packet,
    encode_command,
    encode_event,
    encode_packet,
)
from siskinpass.process.counts import Outcome, TallyHistory
from siskinpass.process.hosting import BrokerHost
from siskinpass.process.limits import LimitPolicy
from siskinpass.process.membership import (
    Member,
    Membership,
    MembershipPolicy,
    PacketArrived,
    SeedsListed,
    TimePassed,
)
from siskinpass.process.peer_server import PeerService, start_peer_server
from siskinpass.process.peers import (
    PeerLinks,
    PeerSecurity,
)
from siskinpass.process.status import encode_counts_after
from siskinpass.request.ticket import (
    Command,
    Granted,
    GrantReleased,
    ServersListed,
    ServerView,
    Ticket,
    TicketOpened,
)
from siskinpass.version.document import dump_tree, parse_tree, tree_mapping
from siskinpass.version.keys import make_key

RUNS = 5
OUT = Path('docs/capacity.json')
STREAMS = (50, 200, 400)
WAITING = (10, 100, 1000)
SERVERS = (6, 600, 3700)
TIERS = (1, 3, 7)
MEMBERS = (8, 32, 128, 450)
WORKSPACES = (10, 400, 1600)
TICKETS = 2000
PEER_KEY = 'capacity-peer-key'
GROUP = 8


def measure() -> dict[str, Any]:
    """Run every measurement and write the page's figures."""
    figures = {
        'relay': _relay(),
        'broker_waiting': _table(WAITING, lambda size: _broker(size, 8, 3)),
        'broker_servers': _table(SERVERS, lambda size: _broker(100, size, 3)),
        'broker_tiers': _table(TIERS, lambda size: _broker(100, 8, size)),
        'members': _members(),
        'tree': _tree(),
        'session': _session(),
        'messages': _messages(),
        'counts': _counts(),
        'claims': {'writes_per_call': 2, 'reads_per_call': 0},
        'process': _process(),
    }
    OUT.write_bytes(orjson.dumps(figures, option=orjson.OPT_INDENT_2) + b'\n')
    return figures


def _spread(samples: Sequence[float]) -> dict[str, float]:
    return {
        'least': round(min(samples), 3),
        'median': round(statistics.median(samples), 3),
        'most': round(max(samples), 3),
    }


def _table(
    sizes: Sequence[int],
    samples: Callable[[int], list[float]],
) -> dict[str, dict[str, float]]:
    return {str(size): _spread(samples(size)) for size in sizes}


def _relay() -> dict[str, Any]:
    runs = [overhead.measure(STREAMS) for _ in range(RUNS)]
    wanted = ('cpu_us_per_token', 'cpu_ms_per_call', 'kb_per_stream')
    return {
        str(size): {
            name: _spread([run[place][name] for run in runs]) for name in wanted
        }
        for place, size in enumerate(STREAMS)
    }


def _broker(waiting: int, servers: int, tiers: int) -> list[float]:
    """Return the processor time of one ticket in a broker, in us."""
    limit = LimitPolicy(start=1 if servers > GROUP else 8, minimum=1, maximum=8)
    broker = Broker(BrokerPolicy(limit, max_queued=10**6))
    views = tuple(
        ServerView(f's{number}', f'127.0.0.1:{number}', 'lm')
        for number in range(servers)
    )
    broker.apply(ServersListed(views), 0.0)
    slots = broker.table.slots
    opened = [
        _opened(f'w{number}', number % tiers)
        for number in range(slots + waiting)
    ]
    held = _granted(broker.apply_all(opened, 0.0))
    tickets = TICKETS if servers <= GROUP else TICKETS // 20
    return [
        _broker_pass(broker, held, f'p{turn}', (tickets, tiers))
        for turn in range(RUNS)
    ]


def _broker_pass(
    broker: Broker,
    held: list[str],
    prefix: str,
    size: tuple[int, int],
) -> float:
    tickets, tiers = size
    gc.collect()
    start_s = time.process_time()
    for number in range(tickets):
        now_s = number / 1000
        opened = _opened(f'{prefix}-{number}', number % tiers, now_s)
        commands = broker.apply(opened, now_s)
        commands += broker.apply(GrantReleased(held.pop(0)), now_s)
        held.extend(_granted(commands))
    return (time.process_time() - start_s) / tickets * 1_000_000


def _granted(commands: Sequence[Command]) -> list[str]:
    return [
        command.ticket_id
        for command in commands
        if isinstance(command, Granted)
    ]


def _opened(name: str, tier: int, now_s: float = 0.0) -> TicketOpened:
    ticket = Ticket(
        name,
        'entry-1',
        'lm',
        f'w/c{tier}',
        tier,
        now_s,
        600.0,
        3600.0,
        share=0.05,
        pausable=False,
    )
    return TicketOpened(ticket)


def _members() -> dict[str, dict[str, Any]]:
    """Return what heartbeats cost one member, by number of members."""
    return {str(count): _member_costs(count) for count in MEMBERS}


def _member_costs(count: int) -> dict[str, Any]:
    members = _meet(count)
    seconds = 4.0
    costs = []
    now_s = 100.0
    for _ in range(RUNS):
        sent = 0
        packets = 0
        start_s = time.process_time()
        for _ in range(int(seconds / 0.05)):
            now_s += 0.05
            for member in members.values():
                told = _deliver(members, member, TimePassed(), now_s)
                sent += told[0]
                packets += told[1]
        used_s = time.process_time() - start_s
        costs.append(used_s / count / seconds * 1000)
    return {
        'cpu_ms_per_s': _spread(costs),
        'bytes_per_s': round(sent / count / seconds),
        'packets_per_s': round(packets / count / seconds, 1),
        'kb_per_member': round(_member_kb(), 2),
    }


def _meet(count: int) -> dict[str, Membership]:
    chance = random.Random(1)
    seeds = tuple(_member(number) for number in range(count))
    members = {
        seed.peer_address: Membership(
            seed,
            MembershipPolicy(),
            random.Random(chance.random()),
        )
        for seed in seeds
    }
    for member in members.values():
        member.apply(SeedsListed(seeds), 0.0)
    for step in range(160):
        for member in members.values():
            _deliver(members, member, TimePassed(), step * 0.05)
    return members


def _member(number: int) -> Member:
    return Member(
        f'entry-{number}',
        f'10.0.{number // 250}.{number % 250}:7000',
        f'10.0.{number // 250}.{number % 250}:8080',
        'zone-a',
        1_796_000_000_000 + number,
    )


def _deliver(
    members: dict[str, Membership],
    sender: Membership,
    event: Any,
    now_s: float,
) -> tuple[int, int]:
    """Apply an event and all that follows; return bytes and packets."""
    sent = 0
    packets = 0
    waiting = [(sender, event)]
    while waiting:
        member, arrived = waiting.pop()
        for command in member.apply(arrived, now_s):
            wire = encode_packet(command.packet)
            sent += len(wire) + 16 + 28
            packets += 1
            receiver = members[command.address]
            waiting.append((receiver, PacketArrived(decode_packet(wire))))
    return sent, packets


def _member_kb() -> float:
    before = _rss_kb()
    kept = [_member(number) for number in range(50_000)]
    return (_rss_kb() - before) / len(kept)


def _rss_kb() -> int:
    text = Path('/proc/self/status').read_text()
    return int(text.split('VmRSS:')[1].split()[0])


def _tree() -> dict[str, dict[str, Any]]:
    return {str(count): _tree_costs(count) for count in WORKSPACES}


def _tree_costs(count: int) -> dict[str, Any]:
    text = _tree_text(count)
    gc.collect()
    before = _rss_kb()
    kept = [parse_tree(text)]
    memory_kb = _rss_kb() - before
    times = []
    for _ in range(RUNS):
        start_s = time.process_time()
        kept[0] = parse_tree(text)
        times.append((time.process_time() - start_s) * 1000)
    mapping = tree_mapping(kept[0])
    branch = next(iter(mapping['workspaces'].values()))
    return {
        'parse_ms': _spread(times),
        'text_kb': round(len(text) / 1024),
        'memory_kb': max(0, memory_kb),
        'branch_bytes': len(orjson.dumps(branch)),
        'manifest_bytes': count * 52,
        'writes_per_edit': 3,
    }


def _tree_text(count: int) -> str:
    mapping = tree_mapping(
        parse_tree(Path('examples/fieltro-lanera.yaml').read_text()),
    )
    branch = next(iter(mapping['workspaces'].values()))
    _, entry = make_key()
    key = {'salt': entry.salt, 'digest': entry.digest, 'default_class': ''}
    mapping['workspaces'] = {
        f'w{number}': {**branch, 'keys': [key]} for number in range(count)
    }
    return dump_tree(parse_tree(orjson.dumps(mapping).decode()))


def _session() -> dict[str, Any]:
    """Return what one ticket costs over a broker session, both ends."""
    figures = [asyncio.run(_session_run()) for _ in range(RUNS)]
    return {
        'ticket_cpu_us': _spread([one[0] for one in figures]),
        'idle_cpu_ms_per_s': _spread([one[1] for one in figures]),
        'ticket_bytes': figures[0][2],
    }


class _State:
    """Answer nothing to peers."""

    def tree_newer_than(self, number: int) -> tuple[int, str]:
        """Return no newer tree."""
        return number, ''


class _Counter:
    """Count the grants of one desk and release each at once."""

    def __init__(self, broker_client: BrokerClient, total: int) -> None:
        self.broker_client = broker_client
        self.left = total
        self.done = asyncio.get_running_loop().create_future()

    def ask(self, number: int) -> None:
        """Open a ticket."""
        self.name = f'entry-1-1796000000000-{number}.0'
        opened = _opened(self.name, 0)
        self.broker_client.ask(opened.ticket, self)

    def granted(self, server: str) -> None:
        """Release and ask again."""
        self.broker_client.release(self.name, failed=False)
        self.left -= 1
        if self.left:
            self.ask(self.left)
        elif not self.done.done():
            self.done.set_result(None)


async def _session_run() -> tuple[float, float, int]:
    loop = asyncio.get_running_loop()
    host = BrokerHost(loop, lambda group: BrokerPolicy())
    views = tuple(
        ServerView(f's{number}', f'x:{number}', 'lm') for number in range(GROUP)
    )
    host.update_servers({'lm': views})
    security = PeerSecurity(PEER_KEY)
    address = free_address()
    service = PeerService(host, _State(), PEER_KEY)
    server = await start_peer_server(service, address, security)
    links = PeerLinks('entry-1', '127.0.0.1', security)
    links.update_addresses({'broker': address})
    broker_client = BrokerClient('lm', lambda unused: None)
    port = links.open_session('broker', broker_client, lambda unused: None)
    broker_client.attach(port, 'broker')
    counter = _Counter(broker_client, 500)
    start_s = time.process_time()
    counter.ask(0)
    await counter.done
    ticket_us = (time.process_time() - start_s) / 500 * 1_000_000
    start_s = time.process_time()
    await asyncio.sleep(2)
    idle_ms = (time.process_time() - start_s) / 2 * 1000
    port.close()
    links.close()
    server.close()
    return ticket_us, idle_ms, _ticket_bytes()


def _ticket_bytes() -> int:
    """Return the bytes of a ticket's three messages with their frames."""
    opened = _opened('entry-1-1796000000000-1234567.0', 3)
    released = GrantReleased(opened.ticket.ticket_id)
    granted = Granted(opened.ticket.ticket_id, 'entry-1', 'engine-12')
    messages = (
        encode_event(opened, 0.0).ByteSize(),
        encode_event(released, 0.0).ByteSize(),
        encode_command(granted).ByteSize(),
    )
    # Batch and gRPC prefix, HTTP/2 frame, TLS record, TCP and IP.
    frames = (25 + 9 + 22 + 52) * len(messages)
    return sum(messages) + frames


def _messages() -> dict[str, int]:
    opened = _opened('entry-1-1796000000000-1234567.0', 3)
    granted = Granted(opened.ticket.ticket_id, 'entry-1', 'engine-12')
    return {
        'open': encode_event(opened, 0.0).ByteSize(),
        'granted': encode_command(granted).ByteSize(),
        'released': encode_event(
            GrantReleased(opened.ticket.ticket_id),
            0.0,
        ).ByteSize(),
    }


def _counts() -> dict[str, Any]:
    """Return what the counts of one class and second cost."""
    book = TallyHistory()
    for number in range(200):
        outcome = Outcome(f'workspace-{number}/counter', met=True, first_ms=90)
        book.record(outcome, 1.0)
    encoded = encode_counts_after(book, 0, 1)
    size = sum(one.ByteSize() for one in encoded) / len(encoded)
    times = []
    for _ in range(RUNS):
        start_s = time.process_time()
        for _ in range(20):
            encode_counts_after(book, 0, 1)
        times.append((time.process_time() - start_s) / 4000 * 1_000_000)
    return {'bytes': round(size), 'encode_us': _spread(times)}


def _process() -> dict[str, Any]:
    """Return what an idle entry uses, with two peers."""
    with overhead.running(overhead.plan()) as cluster:
        time.sleep(2)
        pid = cluster.entries[0].process.pid
        before = overhead.usage(pid)
        time.sleep(5)
        after = overhead.usage(pid)
    cpu_ms = (after.cpu_s - before.cpu_s) / 5 * 1000
    return {
        'idle_rss_mb': round(after.rss_kb / 1024, 1),
        'idle_cpu_ms_per_s': round(cpu_ms, 2),
        'threads': after.threads,
        'bench_peak_mb': round(
            resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024,
        ),
    }
