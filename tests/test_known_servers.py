"""Test which backend servers are used around outages of the registry."""

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from siskinpass.process.known_servers import (
    ENTRY_EXPIRY_S,
    MIN_OUTAGE_S,
    RECOVERY_GRACE_S,
    KnownServers,
)
from siskinpass.request.ticket import ServerView

NAMES = ('i-1', 'i-2', 'i-3')


def view(name, *, leaving=False, incarnation=1):
    """Return the entry of a server."""
    return ServerView(
        name, '10.0.0.1:80', 'lm', leaving=leaving, incarnation=incarnation
    )


def leaving_names(known):
    """Return the names of the servers that leave."""
    return {server.name for server in known.views if server.leaving}


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


class TestRestoredRegistry:
    """Test a registry that was restored from an older copy."""

    @pytest.mark.parametrize(
        ('incarnation', 'expected'), [(1, {'i-1'}), (2, set())]
    )
    def test_leaving_server_stays_leaving(self, incarnation, expected):
        """The copy lists it as ready; only a new incarnation is."""
        known = all_known()
        known.put(view('i-1', leaving=True), 1.0)
        known.apply_restored(
            [view('i-1', incarnation=incarnation), view('i-2')], 2.0
        )
        assert leaving_names(known) == expected

    def test_announced_end_outlasts_the_entry(self):
        """An entry that says ready does not undo the server's own word."""
        known = all_known()
        assert known.mark_leaving('i-1', 1)
        assert not known.mark_leaving('i-1', 1)
        known.put(view('i-1'), 1.0)
        assert leaving_names(known) == {'i-1'}
        known.put(view('i-1', incarnation=2), 2.0)
        assert not leaving_names(known)

    @pytest.mark.parametrize('is_relayed', [False, True])
    def test_removed_server_is_not_used_again(self, is_relayed):
        """The copy lists it until the entries of dead servers expire."""
        known = all_known()
        known.remove('i-1', 1.0)
        apply = known.apply_relayed if is_relayed else known.apply_restored
        apply(map(view, NAMES), 2.0)
        known.apply_listing(map(view, NAMES), 2.5)
        assert names(known) == {'i-2', 'i-3'}
        known.remove('i-1', 3.0)
        known.expire_missing(9.0)
        assert names(known) == {'i-2', 'i-3'}

    @pytest.mark.parametrize('is_written', [False, True])
    def test_living_server_returns(self, is_written):
        """It writes its entry again, or its entry does not expire."""
        known = all_known()
        known.remove('i-1', 1.0)
        known.apply_restored(map(view, NAMES), 2.0)
        if is_written:
            known.put(view('i-1'), 2.1)
        else:
            assert known.expire_missing(2.0 + ENTRY_EXPIRY_S)
        assert names(known) == set(NAMES)

    def test_server_newer_than_the_copy_is_kept_for_a_while(self):
        """It is used until its entry is written again or is overdue."""
        known = all_known()
        known.apply_restored([view('i-1')], 2.0)
        assert names(known) == set(NAMES)
        known.put(view('i-2'), 3.0)
        known.expire_missing(2.0 + RECOVERY_GRACE_S)
        assert names(known) == {'i-1', 'i-2'}


class RestoredStoreMachine(RuleBasedStateMachine):
    """Follow a registry that is restored from copies at any moment."""

    def __init__(self):
        super().__init__()
        self.known = KnownServers()
        self.entries = {}
        self.copies = [{}]
        self.incarnations = dict.fromkeys(NAMES, 0)
        self.seen_leaving = set()
        self.dead = set()
        self.now_s = 0.0

    @rule(name=st.sampled_from(NAMES))
    def start(self, name):
        """A new incarnation of a server registers."""
        self.incarnations[name] += 1
        self._write(view(name, incarnation=self.incarnations[name]))

    @rule(name=st.sampled_from(NAMES))
    def drain(self, name):
        """A server reports that it leaves."""
        entry = self.entries.get(name)
        if entry is not None:
            self._write(view(name, leaving=True, incarnation=entry.incarnation))
            self.seen_leaving.add((name, entry.incarnation))

    @rule(name=st.sampled_from(NAMES))
    def leave(self, name):
        """A server ends, and its entry is removed."""
        entry = self.entries.pop(name, None)
        if entry is not None:
            self.dead.add((name, entry.incarnation))
            self.known.remove(name, self.now_s)

    @rule()
    def copy(self):
        """The registry is copied."""
        self.copies.append(dict(self.entries))

    @rule(back=st.integers(1, 3))
    def restore(self, back):
        """The registry goes back to one of the last copies."""
        self.entries = dict(self.copies[-min(back, len(self.copies))])
        self.known.apply_restored(self.entries.values(), self.now_s)

    @rule(passed_s=st.floats(0.1, 1.0))
    def list_again(self, passed_s):
        """The registry is listed again, shortly after a restore or not."""
        self._pass(passed_s)
        self.known.apply_listing(self.entries.values(), self.now_s)

    @rule()
    def expire_dead_entries(self):
        """Entries of dead servers expire before they would be believed."""
        self._pass(ENTRY_EXPIRY_S - 1.0)
        for name, entry in tuple(self.entries.items()):
            if (name, entry.incarnation) in self.dead:
                self.entries.pop(name)
                self.known.remove(name, self.now_s)
        self._pass(1.0)

    @invariant()
    def leaving_servers_stay_leaving(self):
        """No incarnation that was seen to leave counts as ready."""
        ready = {
            (server.name, server.incarnation)
            for server in self.known.views
            if not server.leaving
        }
        assert not ready & self.seen_leaving

    @invariant()
    def registered_servers_are_used(self):
        """A living server with an entry is known or soon will be."""
        self.known.expire_missing(self.now_s)
        living = {
            name
            for name, entry in self.entries.items()
            if (name, entry.incarnation) not in self.dead
        }
        assert living <= names(self.known)

    def _write(self, entry):
        self.entries[entry.name] = entry
        self.known.put(entry, self.now_s)

    def _pass(self, passed_s):
        self.now_s += passed_s
        self.known.expire_missing(self.now_s)


TestRestoredStoreMachine = RestoredStoreMachine.TestCase


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
