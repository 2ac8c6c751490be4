"""Test which backend servers may be used around outages of the registry."""

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from siskinpass.process.server_book import OUTAGE_LEAST_S, RETURN_S, ServerBook
from siskinpass.request.ticket import ServerView

NAMES = ('i-1', 'i-2', 'i-3')


def view(name, *, leaving=False):
    """Return an entry."""
    return ServerView(name, '10.0.0.1:80', 'lm', leaving=leaving)


def names(book):
    """Return the names of the servers in a book."""
    return {server.name for server in book.views}


def filled():
    """Return a book that knows all servers."""
    book = ServerBook()
    book.list_all(map(view, NAMES), 0.0)
    return book


class TestServerBook:
    """Test listings, changes and outages."""

    def test_a_removed_entry_is_gone_at_once(self):
        """Without an outage a missing entry means that the server left."""
        book = filled()
        book.remove('i-1', 1.0)
        assert names(book) == {'i-2', 'i-3'}

    @pytest.mark.parametrize('outage_s', [OUTAGE_LEAST_S, 9.0])
    def test_lapsed_entries_are_used_until_they_are_due_back(self, outage_s):
        """After an outage a missing entry counts for about two seconds."""
        book = filled()
        book.lose(1.0)
        back_s = 1.0 + outage_s
        book.list_all([view('i-1')], back_s)
        assert names(book) == set(NAMES)
        assert not book.pass_time(back_s + RETURN_S - 0.1)
        book.change(view('i-2'), back_s + 1.0)
        assert book.pass_time(back_s + RETURN_S)
        assert names(book) == {'i-1', 'i-2'}

    def test_a_short_cut_removes_what_a_listing_lacks(self):
        """No entry lapses in a moment, so what is missing then has left."""
        book = filled()
        book.lose(1.0)
        book.list_all([view('i-1')], 1.0 + OUTAGE_LEAST_S / 2)
        assert names(book) == {'i-1'}

    def test_nothing_is_dropped_while_the_registry_is_away(self):
        """A second outage extends the time of what is missing."""
        book = filled()
        book.lose(1.0)
        book.list_all([], 5.0)
        book.lose(5.5)
        assert not book.pass_time(20.0)
        assert names(book) == set(NAMES)

    def test_leaving_is_known_during_the_grace_time(self):
        """A leaving entry is never taken for one that lapsed."""
        book = filled()
        book.lose(1.0)
        book.list_all([view('i-1', leaving=True)], 5.0)
        assert [one.leaving for one in book.views] == [True, False, False]


class BookMachine(RuleBasedStateMachine):
    """Compare a book with what the registry told last."""

    def __init__(self):
        super().__init__()
        self.book = ServerBook()
        self.told = set()
        self.now_s = 0.0
        self.back_s = float('-inf')
        self.lost_s = None

    def hear(self):
        """Note that the registry answered."""
        lost_s, self.lost_s = self.lost_s, None
        if lost_s is not None and self.now_s - lost_s >= OUTAGE_LEAST_S:
            self.back_s = self.now_s

    @rule(passed_s=st.floats(0.01, 3.0))
    def pass_time(self, passed_s):
        self.now_s += passed_s
        self.book.pass_time(self.now_s)

    @rule()
    def lose(self):
        self.book.lose(self.now_s)
        if self.lost_s is None:
            self.lost_s = self.now_s

    @rule(listed=st.sets(st.sampled_from(NAMES)))
    def list_all(self, listed):
        self.hear()
        self.book.list_all(map(view, listed), self.now_s)
        self.told = set(listed)

    @rule(name=st.sampled_from(NAMES))
    def change(self, name):
        self.hear()
        self.book.change(view(name), self.now_s)
        self.told.add(name)

    @rule(name=st.sampled_from(NAMES))
    def remove(self, name):
        self.hear()
        self.book.remove(name, self.now_s)
        self.told.discard(name)

    @invariant()
    def uses_what_was_told(self):
        """All told servers are used."""
        assert self.told <= names(self.book)

    @invariant()
    def forgets_what_left(self):
        """Beyond them only during an outage and the time after it."""
        away = self.lost_s is not None
        if not away and self.now_s >= self.back_s + RETURN_S:
            self.book.pass_time(self.now_s)
            assert names(self.book) == self.told


TestBookMachine = BookMachine.TestCase
