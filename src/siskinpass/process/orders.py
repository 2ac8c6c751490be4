"""Decide which models the engines are ordered to hold.

Pure logic. An order states a target, never a step, so that it is harmless
when it comes twice or late; it carries the fencing number of the lease under
which it was made. Few engines load at once, since the weight store is slow.
"""

from collections.abc import Iterable
from dataclasses import dataclass

MAX_LOADING = 1
REPEAT_S = 5.0


@dataclass(frozen=True, slots=True)
class EngineReport:
    """Hold what an engine last told of itself.

    :param models: models that it holds, none where it did not answer.
    """

    name: str
    models: frozenset[str] | None


@dataclass(frozen=True, slots=True)
class Order:
    """Ask an engine to hold just these models."""

    engine: str
    models: tuple[str, ...]
    fence: int


class OrderPlan:
    """Follow the engines towards their targets."""

    def __init__(self) -> None:
        """Start without open orders."""
        self._sent_s: dict[str, float] = {}

    def next_orders(
        self,
        wanted: frozenset[str],
        reports: Iterable[EngineReport],
        fence: int,
        now_s: float,
    ) -> list[Order]:
        """Return the orders to send now.

        :param wanted: models that each engine is to hold.
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
        """Drop orders that were carried out, and those to be repeated."""
        outstanding = frozenset(mismatched)
        self._sent_s = {
            name: sent_s
            for name, sent_s in self._sent_s.items()
            if name in outstanding and now_s - sent_s < REPEAT_S
        }


def _name(report: EngineReport) -> str:
    return report.name
