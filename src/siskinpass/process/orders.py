"""Decide which engines are ordered to change their loaded models.

Pure logic. An order states the full set of models, not a change to it, so it
is idempotent: a duplicate or delayed order does no harm. It carries the fencing
number of the lease under which it was made. ``MAX_LOADING`` bounds the engines
that load at the same time, because the weight store is slow.
"""

from collections.abc import Iterable
from dataclasses import dataclass

MAX_LOADING = 1
REPEAT_S = 5.0  # time after which an order without effect is sent again


@dataclass(frozen=True, slots=True)
class EngineReport:
    """Last known state of an engine.

    :param models: models that it has loaded, ``None`` if it did not answer.
    """

    name: str
    models: frozenset[str] | None


@dataclass(frozen=True, slots=True)
class Order:
    """An order to an engine to have exactly these models loaded.

    :param fence: fencing number of the lease.
    """

    engine: str
    models: tuple[str, ...]
    fence: int


class OrderPlan:
    """Orders of one pool, sent until its engines report the wanted models."""

    def __init__(self) -> None:
        self._sent_s: dict[str, float] = {}

    def next_orders(
        self,
        wanted: frozenset[str],
        reports: Iterable[EngineReport],
        fence: int,
        now_s: float,
    ) -> list[Order]:
        """Return the orders to send now.

        Engines that did not answer get none. An order that has not taken
        effect after ``REPEAT_S`` is due to be sent again.

        :param wanted: models that each engine should have loaded.
        :param fence: fencing number of the current lease.
        """
        known = sorted(reports, key=_name)
        mismatched = [
            report.name
            for report in known
            if report.models is not None and report.models != wanted
        ]
        self._prune_sent(mismatched, now_s)
        free = MAX_LOADING - len(self._sent_s)
        candidates = [name for name in mismatched if name not in self._sent_s]
        orders = [
            Order(name, tuple(sorted(wanted)), fence)
            for name in candidates[: max(0, free)]
        ]
        for order in orders:
            self._sent_s[order.engine] = now_s
        return orders

    def _prune_sent(self, mismatched: Iterable[str], now_s: float) -> None:
        """Drop the orders that took effect and those due to be repeated."""
        outstanding = frozenset(mismatched)
        self._sent_s = {
            name: sent_s
            for name, sent_s in self._sent_s.items()
            if name in outstanding and now_s - sent_s < REPEAT_S
        }


def _name(report: EngineReport) -> str:
    return report.name
