"""Measurements from which the capacity page is derived."""

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
FIGURES_FILE = Path('docs/capacity.json')
STREAM_COUNTS = (50, 200, 400)
WAITING_COUNTS = (10, 100, 1000)  # tickets in the queue of the broker
SERVER_COUNTS = (6, 600, 3700)
TIER_COUNTS = (1, 3, 7)
MEMBER_COUNTS = (8, 32, 128, 450)
WORKSPACE_COUNTS = (10, 400, 1600)
TICKETS_PER_RUN = 2000
PEER_KEY = 'capacity-peer-key'
GROUP_SIZE = 8  # backend servers in one group


def measure() -> dict[str, Any]:
    """Run all measurements and write the figures of the capacity page."""
    figures = {
        'relay': _measure_relay(),
        'broker_waiting': _measure_sizes(
            WAITING_COUNTS, lambda size: _measure_broker(size, 8, 3)
        ),
        'broker_servers': _measure_sizes(
            SERVER_COUNTS, lambda size: _measure_broker(100, size, 3)
        ),
        'broker_tiers': _measure_sizes(
            TIER_COUNTS, lambda size: _measure_broker(100, 8, size)
        ),
        'members': _measure_members(),
        'tree': _measure_tree(),
        'session': _measure_session(),
        'messages': _message_sizes(),
        'counts': _measure_counts(),
        'claims': {'writes_per_call': 2, 'reads_per_call': 0},
        'process': _measure_process(),
    }
    FIGURES_FILE.write_bytes(
        orjson.dumps(figures, option=orjson.OPT_INDENT_2) + b'\n'
    )
    return figures


def _summary(samples: Sequence[float]) -> dict[str, float]:
    return {
        'least': round(min(samples), 3),
        'median': round(statistics.median(samples), 3),
        'most': round(max(samples), 3),
    }


def _measure_sizes(
    sizes: Sequence[int],
    samples: Callable[[int], list[float]],
) -> dict[str, dict[str, float]]:
    return {str(size): _summary(samples(size)) for size in sizes}


def _measure_relay() -> dict[str, Any]:
    runs = [overhead.measure(STREAM_COUNTS) for _ in range(RUNS)]
    figure_names = ('cpu_us_per_token', 'cpu_ms_per_call', 'kb_per_stream')
    return {
        str(size): {
            name: _summary([run[index][name] for run in runs])
            for name in figure_names
        }
        for index, size in enumerate(STREAM_COUNTS)
    }


def _measure_broker(waiting: int, servers: int, tiers: int) -> list[float]:
    """Return the processor time of one ticket in a broker, in us.

    A ticket is opened, granted and released while all slots are taken.

    :param waiting: tickets in the queue.
    :returns: one figure for each run.
    """
    limit = LimitPolicy(
        start=1 if servers > GROUP_SIZE else 8, minimum=1, maximum=8
    )
    broker = Broker(BrokerPolicy(limit, max_queued=10**6))
    views = tuple(
        ServerView(f's{number}', f'127.0.0.1:{number}', 'lm')
        for number in range(servers)
    )
    broker.apply(ServersListed(views), 0.0)
    slots = broker.table.slots
    opened = [
        _open_event(f'w{number}', number % tiers)
        for number in range(slots + waiting)
    ]
    granted_ids = _granted_ids(broker.apply_all(opened, 0.0))
    tickets = (
        TICKETS_PER_RUN if servers <= GROUP_SIZE else TICKETS_PER_RUN // 20
    )
    return [
        _run_tickets(broker, granted_ids, f'p{run_number}', (tickets, tiers))
        for run_number in range(RUNS)
    ]


def _run_tickets(
    broker: Broker,
    granted_ids: list[str],
    prefix: str,
    size: tuple[int, int],
) -> float:
    tickets, tiers = size
    gc.collect()
    start_s = time.process_time()
    for number in range(tickets):
        now_s = number / 1000
        opened = _open_event(f'{prefix}-{number}', number % tiers, now_s)
        commands = broker.apply(opened, now_s)
        commands += broker.apply(GrantReleased(granted_ids.pop(0)), now_s)
        granted_ids.extend(_granted_ids(commands))
    return (time.process_time() - start_s) / tickets * 1_000_000


def _granted_ids(commands: Sequence[Command]) -> list[str]:
    return [
        command.ticket_id
        for command in commands
        if isinstance(command, Granted)
    ]


def _open_event(name: str, tier: int, now_s: float = 0.0) -> TicketOpened:
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


def _measure_members() -> dict[str, dict[str, Any]]:
    """Return the cost of heartbeats per member, by number of members."""
    return {str(count): _member_costs(count) for count in MEMBER_COUNTS}


def _member_costs(count: int) -> dict[str, Any]:
    members = _converged_members(count)
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
                traffic = _deliver_event(members, member, TimePassed(), now_s)
                sent += traffic[0]
                packets += traffic[1]
        used_s = time.process_time() - start_s
        costs.append(used_s / count / seconds * 1000)
    return {
        'cpu_ms_per_s': _summary(costs),
        'bytes_per_s': round(sent / count / seconds),
        'packets_per_s': round(packets / count / seconds, 1),
        'kb_per_member': round(_kb_per_member(), 2),
    }


def _converged_members(count: int) -> dict[str, Membership]:
    rng = random.Random(1)
    seeds = tuple(_member(number) for number in range(count))
    members = {
        seed.peer_address: Membership(
            seed,
            MembershipPolicy(),
            random.Random(rng.random()),
        )
        for seed in seeds
    }
    for member in members.values():
        member.apply(SeedsListed(seeds), 0.0)
    for step in range(160):
        for member in members.values():
            _deliver_event(members, member, TimePassed(), step * 0.05)
    return members


def _member(number: int) -> Member:
    return Member(
        f'entry-{number}',
        f'10.0.{number // 250}.{number % 250}:7000',
        f'10.0.{number // 250}.{number % 250}:8080',
        'zone-a',
        1_796_000_000_000 + number,
    )


def _deliver_event(
    members: dict[str, Membership],
    sender: Membership,
    event: Any,
    now_s: float,
) -> tuple[int, int]:
    """Apply an event, deliver all packets that it causes and count them.

    :returns: bytes on the wire with UDP and IP headers, and packets.
    """
    sent = 0
    packets = 0
    waiting = [(sender, event)]
    while waiting:
        member, pending_event = waiting.pop()
        for command in member.apply(pending_event, now_s):
            wire = encode_packet(command.packet)
            sent += len(wire) + 16 + 28
            packets += 1
            receiver = members[command.address]
            waiting.append((receiver, PacketArrived(decode_packet(wire))))
    return sent, packets


def _kb_per_member() -> float:
    before = _rss_kb()
    retained = [_member(number) for number in range(50_000)]
    return (_rss_kb() - before) / len(retained)


def _rss_kb() -> int:
    text = Path('/proc/self/status').read_text()
    return int(text.split('VmRSS:')[1].split()[0])


def _measure_tree() -> dict[str, dict[str, Any]]:
    return {str(count): _tree_costs(count) for count in WORKSPACE_COUNTS}


def _tree_costs(count: int) -> dict[str, Any]:
    text = _tree_text(count)
    gc.collect()
    before = _rss_kb()
    retained = [parse_tree(text)]
    memory_kb = _rss_kb() - before
    times = []
    for _ in range(RUNS):
        start_s = time.process_time()
        retained[0] = parse_tree(text)
        times.append((time.process_time() - start_s) * 1000)
    mapping = tree_mapping(retained[0])
    branch = next(iter(mapping['workspaces'].values()))
    return {
        'parse_ms': _summary(times),
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


def _measure_session() -> dict[str, Any]:
    """Return the cost of a ticket and of an idle session, for both ends."""
    figures = [asyncio.run(_session_run()) for _ in range(RUNS)]
    return {
        'ticket_cpu_us': _summary([sample[0] for sample in figures]),
        'idle_cpu_ms_per_s': _summary([sample[1] for sample in figures]),
        'ticket_bytes': figures[0][2],
    }


class _StubState:
    """State without a tree, for a peer server."""

    def tree_newer_than(self, number: int) -> tuple[int, str]:
        """Return the given version number without a tree."""
        return number, ''


class _TicketLoop:
    """Ticket listener that releases each grant and opens the next ticket.

    :param total: tickets after which ``done`` is set.
    """

    def __init__(self, broker_client: BrokerClient, total: int) -> None:
        self.broker_client = broker_client
        self.remaining = total
        self.done = asyncio.get_running_loop().create_future()

    def ask(self, number: int) -> None:
        """Open the ticket with the given number."""
        self.name = f'entry-1-1796000000000-{number}.0'
        opened = _open_event(self.name, 0)
        self.broker_client.ask(opened.ticket, self)

    def granted(self, grant: Granted) -> None:
        """Release the grant and open the next ticket, if any is left."""
        self.broker_client.release(self.name, failed=False)
        self.remaining -= 1
        if self.remaining:
            self.ask(self.remaining)
        elif not self.done.done():
            self.done.set_result(None)


async def _session_run() -> tuple[float, float, int]:
    loop = asyncio.get_running_loop()
    host = BrokerHost(loop, lambda group: BrokerPolicy())
    views = tuple(
        ServerView(f's{number}', f'x:{number}', 'lm')
        for number in range(GROUP_SIZE)
    )
    host.update_servers({'lm': views})
    security = PeerSecurity(PEER_KEY)
    address = free_address()
    service = PeerService(host, _StubState(), PEER_KEY)
    server = await start_peer_server(service, address, security)
    links = PeerLinks('entry-1', '127.0.0.1', security)
    links.update_addresses({'broker': address})
    broker_client = BrokerClient('lm', lambda unused: None)
    port = links.open_session('broker', broker_client, lambda unused: None)
    broker_client.attach(port, 'broker')
    ticket_loop = _TicketLoop(broker_client, 500)
    start_s = time.process_time()
    ticket_loop.ask(0)
    await ticket_loop.done
    ticket_us = (time.process_time() - start_s) / 500 * 1_000_000
    start_s = time.process_time()
    await asyncio.sleep(2)
    idle_ms = (time.process_time() - start_s) / 2 * 1000
    port.close()
    links.close()
    server.close()
    return ticket_us, idle_ms, _ticket_bytes()


def _ticket_bytes() -> int:
    """Return the bytes of the three messages of a ticket with their frames."""
    opened = _open_event('entry-1-1796000000000-1234567.0', 3)
    released = GrantReleased(opened.ticket.ticket_id)
    granted = _granted(opened.ticket.ticket_id)
    messages = (
        encode_event(opened, 0.0).ByteSize(),
        encode_event(released, 0.0).ByteSize(),
        encode_command(granted).ByteSize(),
    )
    # Headers of batch and gRPC, HTTP/2 frame, TLS record, TCP and IP.
    frames = (25 + 9 + 22 + 52) * len(messages)
    return sum(messages) + frames


def _granted(ticket_id: str) -> Granted:
    return Granted(ticket_id, 'entry-1', 'engine-12', address='10.1.2.3:8000')


def _message_sizes() -> dict[str, int]:
    opened = _open_event('entry-1-1796000000000-1234567.0', 3)
    granted = _granted(opened.ticket.ticket_id)
    return {
        'open': encode_event(opened, 0.0).ByteSize(),
        'granted': encode_command(granted).ByteSize(),
        'released': encode_event(
            GrantReleased(opened.ticket.ticket_id),
            0.0,
        ).ByteSize(),
    }


def _measure_counts() -> dict[str, Any]:
    """Return size and encoding time of the counts of one class and second."""
    book = TallyHistory()
    for number in range(200):
        outcome = Outcome(f'workspace-{number}/counter', met=True, first_ms=90)
        book.record(outcome, 1.0)
    encoded = encode_counts_after(book, 0, 1)
    size = sum(sample.ByteSize() for sample in encoded) / len(encoded)
    times = []
    for _ in range(RUNS):
        start_s = time.process_time()
        for _ in range(20):
            encode_counts_after(book, 0, 1)
        times.append((time.process_time() - start_s) / 4000 * 1_000_000)
    return {'bytes': round(size), 'encode_us': _summary(times)}


def _measure_process() -> dict[str, Any]:
    """Return memory, threads and processor time of an idle entry."""
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
