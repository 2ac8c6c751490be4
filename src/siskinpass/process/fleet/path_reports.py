"""Reports of instances on the servers that they do not reach themselves."""

import time
from collections.abc import Iterable
from dataclasses import dataclass

from siskinpass.process.facts import FactTable, lifetime_s, subject_of

# Renewed each second while it counts; covers one that is lost with its repeat.
REPORT_LIFETIME_S = 3.0
MAX_REPORTS = 1000
MAX_FAILED = 16  # servers that a report names


@dataclass(frozen=True, slots=True)
class PathReport:
    """What one instance does not reach by connections of its own.

    :param is_cut_off: whether it reaches no server at all.
    :param failed: servers that it does not reach.
    :param at_s: Unix time of its receipt.
    """

    instance: str
    is_cut_off: bool
    failed: tuple[str, ...]
    at_s: float


@subject_of.register
def _instance_of(fact: PathReport) -> str:
    return fact.instance


@lifetime_s.register
def _report_lifetime_s(fact: PathReport) -> float:
    return REPORT_LIFETIME_S


class PathReports:
    """Latest reports of the other instances."""

    def __init__(self) -> None:
        self._reports: FactTable[PathReport] = FactTable(MAX_REPORTS)

    def receive(self, reports: Iterable[PathReport]) -> None:
        """Merge reports as they arrive."""
        self._reports.merge(reports, time.time())

    def reaches(self, instance: str, server: str) -> bool:
        """Return whether an instance may reach a server, as far as known."""
        report = self._reports.find(instance, time.time())
        if report is None:
            return True
        return not report.is_cut_off and server not in report.failed
