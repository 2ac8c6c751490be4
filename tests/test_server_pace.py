"""Test how instances share the request rate that a server allows."""

import math
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bench.soak_checks import WINDOW_S, allowed_requests, busiest_window
from siskinpass.process.broker import Broker
from siskinpass.process.fleet.policy import fleet_policy
from siskinpass.process.server_pace import (
    MIN_SHARING,
    NO_SHARE,
    Pace,
    Sharing,
    share_of,
)
from siskinpass.request.ticket import (
    ClockTicked,
    Granted,
    ServersListed,
    ServerView,
    Share,
    SharesChanged,
    Ticket,
    TicketOpened,
)

STEP_S = 0.05
PLAYED_S = 30.0
SERVERS = tuple(
    ServerView(f's-{number}', '1.1.1.1:1', 'app', slots=6)
    for number in range(2)
)


def names(count):
    """Return the names of some instances."""
    return tuple(f'front-{number}' for number in range(count))


class Instance:
    """Model of one instance that always has requests for the server."""

    def __init__(self, name, instances, limit_per_s):
        self._name = name
        self._limit_per_s = limit_per_s
        self._pace = None
        self.learn(instances, 0.0)

    def learn(self, instances, now_s, least=1):
        """Change its view of the membership."""
        sharing = Sharing(self._name, instances, least)
        share = share_of(sharing, 's', self._limit_per_s)
        if self._pace is None:
            self._pace = Pace(share, now_s)
        self._pace.update(share, now_s)

    def send(self, now_s):
        """Send a request if it may, and return whether it did."""
        if not self._pace.is_open(now_s):
            return False
        self._pace.take(now_s)
        return True


class TestShare:
    """Test the share of one instance."""

    @pytest.mark.parametrize('count', [1, 2, MIN_SHARING, 9, 200])
    @pytest.mark.parametrize('limit_per_s', [0.0, 0.5, 1.0, 1.2, 5.0, 40.0])
    def test_shares_add_up_to_less_than_the_limit(self, count, limit_per_s):
        """All who share it agree, and the rate is not divided in vain."""
        shares = [
            share_of(Sharing(name, names(count)), 's', limit_per_s)
            for name in names(count)
        ]
        used_per_s = sum(1 / share.interval_s for share in shares)
        assert used_per_s <= max(limit_per_s, 0.05)
        assert used_per_s >= 0.8 * limit_per_s
        having = [share for share in shares if share != NO_SHARE]
        assert len(having) == min(count, MIN_SHARING + int(limit_per_s))
        assert len({share.delay_s for share in having}) == len(having)

    def test_instance_that_hears_no_other_uses_little(self):
        """It reckons with as many as it ever knew."""
        alone = share_of(Sharing('front-1', ('front-1',), 9), 's', 1.0)
        assert alone.interval_s == pytest.approx(10.0)

    def test_servers_are_shared_by_different_instances(self):
        """Each of many instances may use some of several limited servers."""
        users = {
            name
            for name in names(9)
            for server in range(6)
            if share_of(Sharing(name, names(9)), f's-{server}', 1.0) != NO_SHARE
        }
        assert users == set(names(9))


class TestPace:
    """Test the times of one instance's requests."""

    def test_interval_holds_over_changes(self):
        """A share that is lost and regained allows no earlier request."""
        pace = Pace(Share(4.0, 1.0), 0.0)
        assert not pace.is_open(0.9)
        assert pace.is_open(1.0)
        pace.take(1.0)
        pace.update(NO_SHARE, 2.0)
        assert not pace.is_open(1e9)
        pace.update(Share(4.0, 1.0), 2.5)
        assert not pace.is_open(4.9)
        assert pace.is_open(5.0)
        pace.update(Share(2.0, 1.0), 3.0)
        assert pace.is_open(3.5)

    def test_infinite_share_never_opens(self):
        """An instance without a share never uses the server."""
        assert math.isinf(Pace(NO_SHARE, 5.0).next_s)


class TestWindows:
    """Test the requests that a limited server gets in any window."""

    @pytest.mark.parametrize('count', [1, 9, 24, 200])
    @pytest.mark.parametrize('limit_per_s', [0.0, 0.5, 1.0, 1.2, 5.0, 40.0])
    @pytest.mark.parametrize('seed', range(2))
    def test_limit_holds_while_members_come_and_go(
        self, count, limit_per_s, seed
    ):
        """Instances that disagree on the membership exceed no window."""
        rng = random.Random(seed)
        everyone = names(count)
        instances = [Instance(one, everyone, limit_per_s) for one in everyone]
        sent_s = []
        for step in range(int(PLAYED_S / STEP_S)):
            now_s = step * STEP_S
            change_views(instances, everyone, now_s, rng)
            ordered = rng.sample(instances, len(instances))
            sent_s.extend(now_s for one in ordered if one.send(now_s))
        assert busiest_window(sent_s) <= allowed_requests(limit_per_s)
        assert len(sent_s) >= 0.5 * limit_per_s * (PLAYED_S - WINDOW_S)


def change_views(instances, everyone, now_s, rng):
    """Let one instance seem lost to most of the others, or be back."""
    if rng.random() < STEP_S / 2:
        gone = rng.choice(everyone)
        known = tuple(one for one in everyone if one != gone)
        for instance in rng.sample(instances, -(-len(instances) * 2 // 3)):
            instance.learn(known or everyone, now_s)
    if rng.random() < STEP_S / 2:
        for instance in instances:
            instance.learn(everyone, now_s)


def ticket(number, now_s, tier=0):
    """Return the ticket of a request to a plain server."""
    return Ticket(f't-{number}', '', 'app', 'n', tier, now_s, 1.0, 5.0)


def granted(commands):
    """Return the servers that were granted."""
    return [one.server for one in commands if isinstance(one, Granted)]


class TestBroker:
    """Test that queued requests keep to the shares."""

    def test_waiting_requests_take_turns(self):
        """Of those that wait, the most urgent gets the next turn."""
        broker = Broker(fleet_policy(0))
        broker.apply(ServersListed(SERVERS[:1]), 0.0)
        broker.apply(SharesChanged({'s-0': Share(2.0, 1.0)}), 0.0)
        for number, tier in enumerate((2, 1, 2)):
            opened = TicketOpened(ticket(number, 0.0, tier))
            assert not granted(broker.apply(opened, 0.0))
        first = broker.apply(ClockTicked(), 1.0)
        assert [one.ticket_id for one in first] == ['t-1']
        assert not granted(broker.apply(ClockTicked(), 2.9))
        assert granted(broker.apply(ClockTicked(), 3.0)) == ['s-0']

    def test_other_servers_take_the_rest(self):
        """Only the limited server is spared."""
        broker = Broker(fleet_policy(0))
        broker.apply(ServersListed(SERVERS), 0.0)
        broker.apply(SharesChanged({'s-0': NO_SHARE}), 0.0)
        servers = [
            granted(broker.apply(TicketOpened(ticket(number, 1.0)), 1.0))
            for number in range(4)
        ]
        assert servers == [['s-1']] * 4

    def test_lifted_limit_ends_at_once(self):
        """Requests that wait for a turn get the server then."""
        broker = Broker(fleet_policy(0))
        broker.apply(ServersListed(SERVERS[:1]), 0.0)
        broker.apply(SharesChanged({'s-0': NO_SHARE}), 0.0)
        broker.apply(TicketOpened(ticket(1, 0.0)), 0.0)
        broker.apply(SharesChanged({}), 1.0)
        broker.apply(ClockTicked(), 1.0)
        assert broker.running == 1

    @given(
        st.lists(st.floats(0.0, 3.0), min_size=1, max_size=40),
        st.floats(0.1, 5.0),
    )
    def test_grants_keep_the_interval(self, gaps_s, interval_s):
        """Whenever requests come, a server gets one in each interval."""
        broker = Broker(fleet_policy(0))
        broker.apply(ServersListed(SERVERS[:1]), 0.0)
        broker.apply(SharesChanged({'s-0': Share(interval_s, 0.0)}), 0.0)
        now_s, times_s = 0.0, []
        for number, gap_s in enumerate(gaps_s):
            now_s += gap_s
            commands = broker.apply(TicketOpened(ticket(number, now_s)), now_s)
            times_s.extend([now_s] * len(granted(commands)))
        pauses = [
            later - earlier
            for earlier, later in zip(times_s, times_s[1:], strict=False)
        ]
        assert all(pause >= interval_s - 1e-9 for pause in pauses)
