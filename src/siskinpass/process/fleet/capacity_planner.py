"""Order servers of the services that have a scaling section."""

import asyncio
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any

from siskinpass.exceptions import LeaseLostError
from siskinpass.process.duties.calls import (
    CapacityOrder,
    DutyCaller,
    DutyStatus,
)
from siskinpass.process.duties.capacity import CapacityPolicy, ServiceDemand
from siskinpass.process.duties.capacity_spread import ZoneCapacity
from siskinpass.process.duties.service_demand import DemandRow, DemandTable
from siskinpass.process.logs import ComponentLog
from siskinpass.process.metrics import Metrics
from siskinpass.request.ticket import ServerView
from siskinpass.version.routes import Service

# Reclaimed servers of a zone are not replaced there for about as long.
RECLAIMED_S = 9.0
# Time for which servers that are not available are not asked for, doubled by
# each further refusal.
CLOSED_S = 3.0
MAX_CLOSED_S = 12.0
# The same after a call that was not answered or was rejected.
RETRY_S = 1.0
MAX_RETRY_S = 4.0
# Plans of one service in one step: orders that are not available are placed
# elsewhere at once, first as spot servers of other zones, then as normal ones.
MAX_ROUNDS = 3

# A row above it is an error: one instance cannot pass on so much work.
MAX_BUSY = 100_000.0

# Service, zone, and whether it is the spot servers of the zone.
OrderKey = tuple[str, str, bool]


@dataclass(frozen=True, slots=True)
class PlannerInputs:
    """What the planner reads from the other parts of the instance.

    :param services: returns the services of the configuration in force.
    :param servers: returns all listed servers, also leaving ones.
    :param is_listed: returns whether the servers are known as the store lists
        them; nothing is ordered while they are not.
    :param speed: returns the relative speed of a service's servers in a zone.
    """

    services: Callable[[], Iterable[Service]]
    servers: Callable[[], Iterable[ServerView]]
    is_listed: Callable[[], bool]
    speed: Callable[[str, str], float] = lambda service, zone: 1.0


@dataclass(slots=True)
class _OrderState:
    """What is known of one kind of servers in one zone.

    :param ordered: count of the last order, ``None`` before the first.
    :param closed_until_s: time until which none are available.
    :param refusals: refusals in a row.
    :param retry_from_s: time from which the next order may be sent.
    :param failures: calls in a row without an answer to go by.
    :param is_unconfirmed: whether the last call may have been executed.
    :param is_adopted: whether the order is one of the holder before, and was
        not compared with the listed servers yet.
    """

    ordered: int | None = None
    closed_until_s: float = 0.0
    refusals: int = 0
    retry_from_s: float = 0.0
    failures: int = 0
    is_unconfirmed: bool = False
    is_adopted: bool = False

    def note(self, status: DutyStatus, count: int, now_s: float) -> None:
        """Record the outcome of one order."""
        if status is DutyStatus.done:
            self.ordered = count
            self.refusals = 0
            self.failures = 0
            self.is_unconfirmed = False
        elif status is DutyStatus.unavailable:
            closed_s = min(MAX_CLOSED_S, CLOSED_S * 2**self.refusals)
            self.refusals += 1
            self.failures = 0
            self.close(now_s + closed_s)
        else:
            retry_s = min(MAX_RETRY_S, RETRY_S * 2**self.failures)
            self.failures += 1
            self.retry_from_s = now_s + retry_s
            self.is_unconfirmed |= status is DutyStatus.unknown

    def begin_from(self, listed: int) -> None:
        """Begin from the listed servers if an adopted order states fewer."""
        if self.is_adopted and listed > (self.ordered or 0):
            self.ordered = listed
            self.is_unconfirmed = True
        self.is_adopted = False

    def close(self, until_s: float) -> None:
        """Order none until a time at least."""
        self.closed_until_s = max(self.closed_until_s, until_s)


@dataclass(slots=True)
class _ServiceState:
    policy: CapacityPolicy
    leaving: set[tuple[str, int]] = field(default_factory=set)
    reclaimed: int = 0


class CapacityPlanner:
    """Planner that every candidate for the lease has, and the holder uses."""

    def __init__(
        self, caller: DutyCaller, inputs: PlannerInputs, metrics: Metrics
    ) -> None:
        self._caller = caller
        self._inputs = inputs
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()
        self._log = ComponentLog('capacity')
        self._table = DemandTable()
        self._states: dict[OrderKey, _OrderState] = {}
        self._services: dict[str, _ServiceState] = {}

    def adopt(self, orders: Iterable[CapacityOrder]) -> None:
        """Begin from the orders of the holder before; call on a takeover."""
        self._states = {}
        self._services = {}
        for order in orders:
            key = (order.service, order.zone, order.is_spot)
            self._states[key] = _OrderState(order.count, is_adopted=True)

    def receive(self, payload: Any) -> None:
        """Keep the work that an instance reports, also while not the holder.

        :raises ValueError: if it cannot be decoded; nothing is kept of it.
        """
        name, _, rows = payload
        self.seen_demand(name, [_decode_row(row) for row in rows])

    def seen_demand(self, instance: str, rows: Iterable[DemandRow]) -> None:
        """Keep the work that arrives at an instance."""
        self._table.update(instance, rows, self._loop.time())

    async def step(self) -> None:
        """Send the orders that are due; called once a second by the holder."""
        self._table.sample(self._loop.time())
        if not self._inputs.is_listed():
            # The last order stands while the servers are not known.
            return
        totals: Counter[str] = Counter()
        for service in tuple(self._inputs.services()):
            if service.scaling is not None and self._caller.is_holder:
                await self._plan(service)
                totals.update(self._count(service))
        for name, count in totals.items():
            self._metrics.set_state(f'servers_{name}', count)

    async def _plan(self, service: Service) -> None:
        state = self._services.setdefault(
            service.name, _ServiceState(CapacityPolicy(service.name))
        )
        self._compare_adopted(service)
        for _ in range(MAX_ROUNDS):
            now_s = self._loop.time()
            self._note_reclaimed(service, state, now_s)
            demand = self._table.demand(service.name, now_s)
            zones = self._zones(service)
            due = state.policy.plan(demand, zones, service.scaling, now_s)
            orders = self._sendable(
                [*due, *self._unconfirmed(service.name, due, zones, now_s)],
                now_s,
            )
            self._log_orders(orders, demand, zones, state.policy.held)
            statuses = await self._send_all(orders)
            if DutyStatus.unavailable not in statuses:
                return

    def _compare_adopted(self, service: Service) -> None:
        """Begin from what is listed where that is more than was ordered.

        The last order of the holder before may be missing in the lease, and a
        raise from too low a count would remove running servers.
        """
        most = service.scaling.most
        for view in self._zones(service):
            for is_spot in (False, True):
                state = self._states.get((service.name, view.zone, is_spot))
                if state is not None:
                    other = view.committed(is_spot=not is_spot)
                    listed = view.listed(is_spot=is_spot)
                    state.begin_from(min(listed, most - other))

    async def _send_all(
        self, orders: Sequence[CapacityOrder]
    ) -> list[DutyStatus]:
        """Send orders, those for more servers first.

        Nothing more is sent in this step once the lease is lost.
        """
        statuses = []
        for order in orders:
            try:
                status = await self._caller.send(order)
            except LeaseLostError:
                break
            self._note_status(order, status)
            statuses.append(status)
            if status is DutyStatus.unknown:
                # The API does not answer; each further call would take long.
                break
        return statuses

    def _note_status(self, order: CapacityOrder, status: DutyStatus) -> None:
        self._state_of(order).note(status, order.count, self._loop.time())
        if status is DutyStatus.done:
            return
        self._metrics.order_failed(status.value)
        self._log.note(
            'Servers were not ordered.',
            service=order.service,
            zone=order.zone,
            is_spot=order.is_spot,
            count=order.count,
            cause=status.value,
        )

    def _state_of(self, order: CapacityOrder) -> _OrderState:
        key = (order.service, order.zone, order.is_spot)
        return self._states.setdefault(key, _OrderState())

    def _sendable(
        self, orders: Iterable[CapacityOrder], now_s: float
    ) -> list[CapacityOrder]:
        return [
            order
            for order in orders
            if now_s >= self._state_of(order).retry_from_s
        ]

    def _unconfirmed(
        self,
        service: str,
        due: Iterable[CapacityOrder],
        zones: Iterable[ZoneCapacity],
        now_s: float,
    ) -> list[CapacityOrder]:
        """Return orders that restore what an unanswered one may have changed.

        They state the count that was in force, unless another is due anyway.
        Where none are available they wait: each refusal closes the zone anew.
        """
        planned = {(order.zone, order.is_spot) for order in due}
        return [
            CapacityOrder(
                service, view.zone, view.committed(is_spot=is_spot), is_spot
            )
            for view in zones
            for is_spot in (False, True)
            if (view.zone, is_spot) not in planned
            and (state := self._states.get((service, view.zone, is_spot)))
            and state.is_unconfirmed
            and not view.is_closed(now_s, is_spot=is_spot)
        ]

    def _zones(self, service: Service) -> list[ZoneCapacity]:
        ready = Counter(
            (view.zone, view.is_spot)
            for view in self._views(service)
            if not view.leaving
        )
        prices = service.scaling.zone_prices
        # No order can name the zone of a server that states none.
        names = {zone for zone, _ in ready if zone} | prices.keys()
        return [
            self._zone(service, zone, ready[zone, False], ready[zone, True])
            for zone in sorted(names)
        ]

    def _zone(
        self, service: Service, zone: str, normal: int, spot: int
    ) -> ZoneCapacity:
        empty = _OrderState()
        on_normal = self._states.get((service.name, zone, False), empty)
        on_spot = self._states.get((service.name, zone, True), empty)
        return ZoneCapacity(
            zone=zone,
            price=service.scaling.zone_prices.get(zone, 1.0),
            normal=normal,
            spot=spot,
            ordered_normal=on_normal.ordered,
            ordered_spot=on_spot.ordered,
            spot_closed_until_s=on_spot.closed_until_s,
            normal_closed_until_s=on_normal.closed_until_s,
            speed=self._inputs.speed(service.name, zone),
        )

    def _note_reclaimed(
        self, service: Service, state: _ServiceState, now_s: float
    ) -> None:
        """Close the spot servers of zones in which some are reclaimed.

        Servers that were ordered away leave as well, but as many are left as
        were ordered.
        """
        leaving = {
            (view.name, view.incarnation): view.zone
            for view in self._views(service)
            if view.is_spot and view.leaving
        }
        short = {
            zone.zone
            for zone in self._zones(service)
            if zone.spot < zone.committed(is_spot=True)
        }
        fresh = Counter(
            zone
            for one, zone in leaving.items()
            if one not in state.leaving and zone in short
        )
        state.leaving = set(leaving)
        state.reclaimed = sum(zone in short for zone in leaving.values())
        for zone, count in fresh.items():
            key = (service.name, zone, True)
            order_state = self._states.setdefault(key, _OrderState())
            order_state.close(now_s + RECLAIMED_S)
            self._log.note(
                'Spot servers are reclaimed.',
                service=service.name,
                zone=zone,
                count=count,
            )

    def _views(self, service: Service) -> list[ServerView]:
        return [
            view for view in self._inputs.servers() if view.pool == service.name
        ]

    def _count(self, service: Service) -> dict[str, float]:
        state = self._services[service.name]
        zones = self._zones(service)
        return {
            'wanted': state.policy.held,
            'listed': sum(zone.normal + zone.spot for zone in zones),
            'spot': sum(zone.spot for zone in zones),
            'reclaimed': state.reclaimed,
        }

    def _log_orders(
        self,
        orders: Iterable[CapacityOrder],
        demand: ServiceDemand,
        zones: Sequence[ZoneCapacity],
        wanted: float,
    ) -> None:
        by_zone = {zone.zone: zone for zone in zones}
        for order in orders:
            zone = by_zone[order.zone]
            self._log.note(
                'Servers are ordered.',
                service=order.service,
                zone=order.zone,
                is_spot=order.is_spot,
                count=order.count,
                before=zone.ordered(is_spot=order.is_spot),
                listed=zone.listed(is_spot=order.is_spot),
                wanted=round(wanted, 1),
                busy=round(demand.busy, 2),
                peak=round(demand.peak, 2),
                steady=round(demand.steady, 2),
                loaded_s=round(demand.loaded_s, 1),
                is_known=demand.is_known,
            )


def _decode_row(row: Any) -> DemandRow:
    service, zone, busy = row
    found = float(busy)
    if not 0 <= found < MAX_BUSY:
        raise ValueError(f'demand out of range: {busy!r:.60}')
    return str(service), str(zone), found
