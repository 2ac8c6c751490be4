"""Test which backend servers are used around outages of the registry."""

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from siskinpass.process.known_servers import (
    MIN_OUTAGE_S,
    RECOVERY_GRACE_S,
    KnownServers,
)
from siskinpass.request.ticket import ServerView

NAMES = ('i-1', 'i-2', 'i-3')


def view(name, *, leaving=False):
    """Return the entry of a server."""
    return ServerView(name, '10.0.0.1:80', 'lm', leaving=leaving)


def names(known):
    """Return the names of the known servers."""
    return {server.name for server in known.views}


def all_known():
    """Return an instance that knows all servers."""
    known = KnownServers()
    known.apply_listing(map(view, NAMES), 0.0)
    return known


class TestKnownServers:
    """Test listings, changes and outages of the registry."""

    def test_removed_entry_is_dropped_at_once(self):
        """Without an outage a removed entry means that the server has left."""
        known = all_known()
        known.remove('i-1', 1.0)
        assert names(known) == {'i-2', 'i-3'}

    @pytest.mark.parametrize('outage_s', [MIN_OUTAGE_S, 9.0])
    def test_lapsed_entries_are_used_until_grace_period_ends(self, outage_s):
        """After an outage a server without an entry is used for a while."""
        known = all_known()
        known.mark_unreachable(1.0)
        back_s = 1.0 + outage_s
        known.apply_listing([view('i-1')], back_s)
        assert names(known) == set(NAMES)
        assert not known.expire_missing(back_s + RECOVERY_GRACE_S - 0.1)
        known.put(view('i-2'), back_s + 1.0)
        assert known.expire_missing(back_s + RECOVERY_GRACE_S)
        assert names(known) == {'i-1', 'i-2'}

    def test_short_outage_has_no_grace_period(self):
        """Entries cannot expire that fast, so missing servers have left."""
        known = all_known()
        known.mark_unreachable(1.0)
        known.apply_listing([view('i-1')], 1.0 + MIN_OUTAGE_S / 2)
        assert names(known) == {'i-1'}

    def test_nothing_is_dropped_while_registry_is_unreachable(self):
        """A second outage extends the grace period of missing servers."""
        known = all_known()
        known.mark_unreachable(1.0)
        known.apply_listing([], 5.0)
        known.mark_unreachable(5.5)
        assert not known.expire_missing(20.0)
        assert names(known) == set(NAMES)

    def test_leaving_is_applied_during_grace_period(self):
        """A leaving entry takes effect; it does not count as expired."""
        known = all_known()
        known.mark_unreachable(1.0)
        known.apply_listing([view('i-1', leaving=True)], 5.0)
        assert [one.leaving for one in known.views] == [True, False, False]


class KnownServersMachine(RuleBasedStateMachine):
    """Compare the known servers with the last answers of the registry."""

    def __init__(self):
        super().__init__()
        self.known = KnownServers()
        self.listed_names = set()
        self.now_s = 0.0
        self.back_s = float('-inf')
        self.outage_start_s = None

    def mark_reachable(self):
        """Record that the registry answered."""
        outage_start_s, self.outage_start_s = self.outage_start_s, None
        if (
            outage_start_s is not None
            and self.now_s - outage_start_s >= MIN_OUTAGE_S
        ):
            self.back_s = self.now_s

    @rule(passed_s=st.floats(0.01, 3.0))
    def expire_missing(self, passed_s):
        self.now_s += passed_s
        self.known.expire_missing(self.now_s)

    @rule()
    def mark_unreachable(self):
        self.known.mark_unreachable(self.now_s)
        if self.outage_start_s is None:
            self.outage_start_s = self.now_s

    @rule(listed=st.sets(st.sampled_from(NAMES)))
    def apply_listing(self, listed):
        self.mark_reachable()
        self.known.apply_listing(map(view, listed), self.now_s)
        self.listed_names = set(listed)

    @rule(name=st.sampled_from(NAMES))
    def put(self, name):
        self.mark_reachable()
        self.known.put(view(name), self.now_s)
        self.listed_names.add(name)

    @rule(name=st.sampled_from(NAMES))
    def remove(self, name):
        self.mark_reachable()
        self.known.remove(name, self.now_s)
        self.listed_names.discard(name)

    @invariant()
    def uses_listed_servers(self):
        """All listed servers are known."""
        assert self.listed_names <= names(self.known)

    @invariant()
    def drops_unlisted_servers(self):
        """Other servers are known only until the grace period ends."""
        away = self.outage_start_s is not None
        if not away and self.now_s >= self.back_s + RECOVERY_GRACE_S:
            self.known.expire_missing(self.now_s)
            assert names(self.known) == self.listed_names


TestKnownServersMachine = KnownServersMachine.TestCase
