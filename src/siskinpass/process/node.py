"""Entry instance: creates its parts, connects, starts and stops them."""

import asyncio
import random
import time
from collections.abc import AsyncGenerator, Mapping
from contextlib import asynccontextmanager
from datetime import UTC, datetime
from typing import Any

from grpclib.server import Server

from siskinpass.codes import Code
from siskinpass.connection.backend import BackendPool
from siskinpass.process import peer_pb2 as pb
from siskinpass.process.addresses import (
    Address,
    choose_addresses,
    first_address,
)
from siskinpass.process.broker import BrokerPolicy
from siskinpass.process.claims import Claims
from siskinpass.process.counts import TallyHistory
from siskinpass.process.discovery import Listing, poll_listing
from siskinpass.process.dispatcher import Dispatcher
from siskinpass.process.engines import EngineReconciler
from siskinpass.process.frontend import Frontend
from siskinpass.process.gossip import Gossip
from siskinpass.process.hosting import FALLBACK_PREFIX, BrokerHost
from siskinpass.process.logs import ComponentLog
from siskinpass.process.membership import Member, Membership, MembershipPolicy
from siskinpass.process.metrics import Metrics
from siskinpass.process.overview import describe_brokers, describe_versions
from siskinpass.process.peer_server import PeerService, start_peer_server
from siskinpass.process.peers import (
    PeerLinks,
)
from siskinpass.process.policies import broker_policy
from siskinpass.process.relay import Relay, RelayContext
from siskinpass.process.settings import (
    FIFO_RANDOM,
    LEAST_OUTSTANDING,
    SHARED,
    Settings,
    load_peer_security,
)
from siskinpass.process.status import (
    StatusAggregator,
    StatusContext,
    encode_counts_after,
)
from siskinpass.process.store import Store
from siskinpass.process.store_lease import STATUS_LEASE_KEY, StoreLease
from siskinpass.process.streams import StreamMonitor
from siskinpass.process.treewatch import TreeWatch
from siskinpass.request.ticket import ServerView
from siskinpass.version.document import tree_mapping
from siskinpass.version.repository import Edit, Proposal, TreeRepository
from siskinpass.version.schema import Pool
from siskinpass.version.tree_version import TreeVersion

RECHECK_INTERVAL_S = 0.5  # time between two checks for moved brokers
# Time between the announcement of leaving and the refusal of new requests, in
# which the other instances stop returning this one to callers. New requests are
# then refused for at least as long before the process ends.
LEAVE_NOTICE_S = 1.0
NS_PER_MS = 1_000_000


class EntryNode:
    """Owner of all parts of one process."""

    def __init__(self, settings: Settings) -> None:
        """Create the parts without opening sockets or starting tasks.

        Must be called on the event loop.
        """
        self._settings = settings
        self._loop = asyncio.get_running_loop()
        self._log = ComponentLog('node')
        self._incarnation = time.time_ns() // NS_PER_MS
        self._security = load_peer_security(settings)
        self._listing = Listing((), ())
        self._addresses: dict[str, str] = {}
        self._leaving = False
        self.stopped = asyncio.Event()
        self.process_metrics = Metrics()
        self._store = Store(
            f'http://{settings.platform}',
            lambda kind: self._loop.call_soon_threadsafe(
                self.process_metrics.store_called,
                kind,
            ),
        )
        self._create_cluster_parts()
        self._create_relay_parts()

    def _create_cluster_parts(self) -> None:
        """Create the parts that communicate with other instances."""
        settings = self._settings
        peers_host = settings.peers.rsplit(':', 1)[0]
        self._links = PeerLinks(settings.name, peers_host, self._security)
        own = Member(
            settings.name,
            settings.announced_peers or settings.peers,
            settings.announced_callers or settings.callers,
            settings.zone,
            self._incarnation,
        )
        membership = Membership(
            own,
            MembershipPolicy(),
            random.Random(self._incarnation),
        )
        self.gossip = Gossip(
            membership,
            settings.peer_key,
            self._on_members,
        )
        self._repository = TreeRepository(self._store, _timestamp)
        self.tree_watch = TreeWatch(
            settings.name,
            self._repository,
            self._links,
            self._on_version,
        )
        self.host = BrokerHost(self._loop, self._policy_for)
        self.dispatcher = Dispatcher(
            settings.name,
            self.host,
            self._links.open_session,
            self.process_metrics.retried,
        )
        self.dispatcher.decides_locally = settings.decisions != SHARED

    def _create_relay_parts(self) -> None:
        """Create the parts that answer callers and manage the engines."""
        settings = self._settings
        self._counts = TallyHistory()
        self._claims = Claims(self._store)
        self._backends = BackendPool(self._loop)
        self.stream_monitor = StreamMonitor(self.dispatcher)
        self.relay = Relay(
            RelayContext(
                settings.name,
                self._incarnation,
                self.tree_watch.current_version,
                self.dispatcher,
                self._backends,
                self.stream_monitor,
                self._claims,
                self._counts,
                self.process_metrics,
                self._address_of,
                settings.decisions not in {LEAST_OUTSTANDING, FIFO_RANDOM},
                lambda: first_address(self.addresses(settings.zone)),
            ),
        )
        self._lease = StoreLease(
            self._store,
            STATUS_LEASE_KEY,
            f'{settings.name}-{self._incarnation}',
        )
        self._status = StatusAggregator(
            StatusContext(
                settings.name,
                self._store,
                self._links,
                self.tree_watch.current_version,
                self._counts,
                lambda: self.gossip.membership.live,
            ),
            self._lease,
        )
        self._engines = EngineReconciler(
            self._lease,
            self.tree_watch.current_version,
            lambda: self._listing.servers,
        )
        self._frontend = Frontend(
            settings, self, self.relay, self.process_metrics
        )

    async def run(self) -> None:
        """Serve until the instance has been drained.

        An exception of any background task ends it and is raised.
        """
        async with self._started() as tasks:
            stopping = asyncio.ensure_future(self.stopped.wait())
            done, _ = await asyncio.wait(
                (stopping, *tasks),
                return_when=asyncio.FIRST_COMPLETED,
            )
            for task in done - {stopping}:
                # These tasks only end by an exception, which this raises.
                task.result()

    async def drain(self) -> None:
        """Begin to leave; return before the open requests are answered."""
        self.start_drain()

    def start_drain(self) -> None:
        """Begin to leave, and stop once the open requests are answered.

        New requests are still served for ``LEAVE_NOTICE_S``, and refused after
        that. Does nothing if the instance is already leaving.
        """
        if self._leaving:
            return
        self._leaving = True
        self._log.note('The instance is leaving.')
        self._announce_self()
        self._leave_task = self._loop.create_task(self._finish_drain())

    def addresses(self, zone: str) -> list[Address]:
        """Return the instances that a caller should use, best first.

        :param zone: availability zone of the caller, empty where unknown.
        """
        serving = [
            member
            for member in self.gossip.membership.serving
            if not (self._leaving and member.name == self._settings.name)
        ]
        return choose_addresses(serving, zone)

    def unready_reason(self) -> Code | None:
        """Return why this instance is not ready, ``None`` if it is ready."""
        if self._leaving:
            return Code.instance_leaving
        if self.tree_watch.current_version.current is None:
            return Code.no_tree_in_force
        return None

    def models(self) -> list[str]:
        """Return the names of the models of all pools, sorted."""
        version = self.tree_watch.current_version.current
        if version is None:
            return []
        pools = version.tree.root.pools.values()
        return sorted({model for pool in pools for model in pool.models})

    def tree(self) -> tuple[int, Mapping[str, Any]]:
        """Return number and tree of the version in force.

        :returns: ``(0, {})`` before the first version.
        """
        version = self.tree_watch.current_version.current
        if version is None:
            return 0, {}
        return version.number, tree_mapping(version.tree)

    def status(self) -> dict[str, Any]:
        """Return the status document for operators, as known here."""
        versions = describe_versions(
            self.gossip.membership.members,
            self.tree_watch.current_version.number,
        )
        return {
            'instance': self._settings.name,
            'open_requests': self.relay.open_requests,
            'unsettled_claims': self._claims.unsettled,
            'brokers': describe_brokers(self.host.brokers),
            **versions,
            **self._status.document,
        }

    def metrics(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        metrics = self.process_metrics
        metrics.set_state('open_requests', self.relay.open_requests)
        metrics.set_state('open_streams', self.stream_monitor.open_streams)
        metrics.set_state('live_instances', len(self.gossip.membership.live))
        metrics.set_state(
            'tree_version', self.tree_watch.current_version.number
        )
        metrics.set_state('peer_bytes_sent', self.gossip.bytes_sent)
        metrics.set_state('peer_packets_sent', self.gossip.packets_sent)
        self._frontend.reports.set_states()
        return metrics.render()

    async def propose(self, proposal: Proposal) -> int:
        """Store an edit as a new version and put it in force here at once.

        :returns: the number of the version.
        """
        version = await self._repository.propose(proposal)
        self.tree_watch.adopt_if_newer(version)
        return version.number

    async def history(self) -> tuple[Edit, ...]:
        """Return the latest accepted edits of the tree."""
        return await self._repository.history()

    async def tree_at(self, number: int) -> Mapping[str, Any]:
        """Return the tree of an accepted version by its number."""
        return await self._repository.tree_at(number)

    def tree_newer_than(self, number: int) -> tuple[int, str]:
        """Return the version in force to a peer that has an older one.

        :param number: version of the peer.
        :returns: the number in force and the tree as YAML, or an empty text
            where it is not newer than the peer's.
        """
        version = self.tree_watch.current_version.current
        if version is None or version.number <= number:
            return self.tree_watch.current_version.number, ''
        return version.number, version.text

    def counts_after(self, second: int) -> pb.CountsReply:
        """Return this instance's counts for a peer.

        The current second is left out, because it is still being counted.

        :param second: the last second whose counts the peer already has.
        """
        last = int(self._loop.time()) - 1
        counts = encode_counts_after(self._counts, second, last)
        return pb.CountsReply(counts=counts, last_second=last)

    @asynccontextmanager
    async def _started(self) -> AsyncGenerator[list[asyncio.Task[None]], None]:
        settings = self._settings
        host, port = settings.peers.rsplit(':', 1)
        await self._loop.create_datagram_endpoint(
            lambda: self.gossip,
            local_addr=(host, int(port)),
        )
        service = PeerService(self.host, self, settings.peer_key)
        peer_server = await start_peer_server(
            service,
            settings.peers,
            self._security,
        )
        tasks = [
            self._loop.create_task(running)
            for running in (
                self.gossip.run(),
                self.host.run(),
                self.stream_monitor.run(),
                self.tree_watch.run(),
                self._claims.run(),
                self._lease.run(),
                self._status.run(),
                self._engines.run(),
                poll_listing(settings.platform, self._on_listing),
                self._recheck_brokers(),
                self._claims.run_expiry(self._lease),
            )
        ]
        try:
            async with self._frontend.listening():
                self._log.note(
                    'The instance accepts callers.', callers=settings.callers
                )
                yield tasks
        finally:
            self._close(tasks, peer_server)

    def _close(self, tasks: list[asyncio.Task[None]], peers: Server) -> None:
        for task in tasks:
            task.cancel()
        peers.close()
        self._links.close()
        self._store.close()

    async def _finish_drain(self) -> None:
        await asyncio.sleep(LEAVE_NOTICE_S)
        self.relay.leaving = True
        await self.relay.drain()
        await asyncio.sleep(LEAVE_NOTICE_S)
        await self.relay.drain()
        self._log.note('The process ends.')
        self.stopped.set()

    async def _recheck_brokers(self) -> None:
        while True:
            await asyncio.sleep(RECHECK_INTERVAL_S)
            self.dispatcher.recheck()

    def _on_listing(self, listing: Listing) -> None:
        self._listing = listing
        seeds = [
            Member(entry.name, entry.peer_address, entry.caller_address)
            for entry in listing.entries
        ]
        self.gossip.set_seeds(tuple(seeds))
        pools: dict[str, list[ServerView]] = {}
        for server in listing.servers:
            pools.setdefault(server.pool, []).append(server)
        self.host.update_servers(
            {pool: tuple(servers) for pool, servers in pools.items()},
        )
        self._addresses = {
            server.name: server.address for server in listing.servers
        }

    def _on_members(self) -> None:
        membership = self.gossip.membership
        live = membership.live
        self._links.update_addresses(
            {member.name: member.peer_address for member in live},
        )
        self.tree_watch.update_members(tuple(live))
        names = {member.name for member in membership.serving}
        alive = {member.name for member in live}
        for dead in self.dispatcher.instances - alive:
            self.host.remove_entry(dead)
        self.dispatcher.update_instances(names)

    def _on_version(self, version: TreeVersion) -> None:
        self._announce_self()

    def _announce_self(self) -> None:
        self.gossip.update_own_state(
            leaving=self._leaving,
            tree_version=self.tree_watch.current_version.number,
        )

    def _address_of(self, server: str) -> str:
        return self._addresses.get(server, '')

    def _policy_for(self, group: str) -> BrokerPolicy:
        version = self.tree_watch.current_version.current
        pool = Pool()
        if version is not None:
            name = group.removeprefix(FALLBACK_PREFIX)
            pool = version.tree.root.pools.get(name, pool)
        instance_count = 1
        if group.startswith(FALLBACK_PREFIX) or self.dispatcher.decides_locally:
            instance_count = max(1, len(self.gossip.membership.serving))
        return broker_policy(self._settings.decisions, pool, instance_count)


def _timestamp() -> str:
    return datetime.now(UTC).isoformat(timespec='seconds')
