"""Reconcile the engines' loaded models with the tree, while a lease is held.

The only module that knows the format of reports and orders.
"""

import asyncio
from collections.abc import Callable, Iterable

import orjson
import urllib3
from urllib3.exceptions import HTTPError

from siskinpass.process.logs import ComponentLog
from siskinpass.process.orders import EngineReport, Order, OrderPlan
from siskinpass.process.store_lease import StoreLease
from siskinpass.request.ticket import ServerView
from siskinpass.version.tree_version import CurrentVersion

INTERVAL_S = 2.0
REPORT_TIMEOUT_S = 1.0
ORDER_TIMEOUT_S = 30.0  # an engine answers once the models are loaded
STATUS_OK = 200
STATUS_CONFLICT = 409
ENGINE = 'engine'  # kind of the pools whose servers load models


class EngineReconciler:
    """Orders engines to load the models that the tree assigns to their pool.

    Orders are only sent while the lease is held.
    """

    def __init__(
        self,
        lease: StoreLease,
        current_version: CurrentVersion,
        servers: Callable[[], Iterable[ServerView]],
    ) -> None:
        """Create a reconciler; requires a running event loop.

        :param servers: returns the listed backend servers.
        """
        self._lease = lease
        self._current_version = current_version
        self._servers = servers
        self._plans: dict[str, OrderPlan] = {}
        self._http = urllib3.PoolManager(maxsize=4, retries=False)
        self._loop = asyncio.get_running_loop()
        self._log = ComponentLog('engine')
        self._sending: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Read the reports and send orders periodically until cancelled."""
        while True:
            await asyncio.sleep(INTERVAL_S)
            version = self._current_version.current
            if self._lease.fence is None or version is None:
                self._plans.clear()
                continue
            for name, pool in version.tree.root.pools.items():
                if pool.kind == ENGINE:
                    await self._reconcile_pool(name, frozenset(pool.models))

    async def _reconcile_pool(self, pool: str, wanted: frozenset[str]) -> None:
        servers = {
            server.name: server.address
            for server in self._servers()
            if server.pool == pool and not server.leaving
        }
        reports = await self._read_reports(servers)
        # The lease may have expired while the reports were read.
        fence = self._lease.fence
        if fence is None:
            return
        plan = self._plans.setdefault(pool, OrderPlan())
        orders = plan.next_orders(wanted, reports, fence, self._loop.time())
        for order in orders:
            sending = self._send(order, servers[order.engine])
            task = self._loop.create_task(sending)
            self._sending.add(task)
            task.add_done_callback(self._sending.discard)

    async def _read_reports(
        self, servers: dict[str, str]
    ) -> list[EngineReport]:
        requests = [
            asyncio.to_thread(self._read_report, name, address)
            for name, address in servers.items()
        ]
        return await asyncio.gather(*requests)

    async def _send(self, order: Order, address: str) -> None:
        status = await asyncio.to_thread(self._post_order, order, address)
        self._log.note(
            'Sent an order to an engine.',
            engine=order.engine,
            models=list(order.models),
            fence=order.fence,
            accepted=status == STATUS_OK,
            fenced_off=status == STATUS_CONFLICT,
        )

    def _read_report(self, name: str, address: str) -> EngineReport:
        try:
            answer = self._http.request(
                'GET',
                f'http://{address}/load',
                timeout=REPORT_TIMEOUT_S,
            )
        except HTTPError:
            return EngineReport(name, None)
        if answer.status != STATUS_OK:
            return EngineReport(name, None)
        report = orjson.loads(answer.data)
        return EngineReport(name, frozenset(report.get('models', ())))

    def _post_order(self, order: Order, address: str) -> int:
        body = orjson.dumps({
            'models': list(order.models),
            'fence': order.fence,
        })
        try:
            answer = self._http.request(
                'POST',
                f'http://{address}/orders',
                body=body,
                timeout=ORDER_TIMEOUT_S,
            )
        except HTTPError:
            return 0
        return answer.status
