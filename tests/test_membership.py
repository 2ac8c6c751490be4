"""Test membership over a simulated network with a logical clock."""

import random

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
)

from siskinpass.process.membership import (
    Member,
    Membership,
    MembershipPolicy,
    OwnStateChanged,
    PacketArrived,
    SeedsListed,
    TimePassed,
)

STEP_S = 0.05


class Network:
    """Members on a network that can lose packets in one direction.

    :ivar lost: pairs of sender and receiver whose packets are lost.
    :ivar stopped: names of members that are killed or paused.
    :ivar packets: number of packets sent.
    """

    def __init__(self, count, seed=1):
        """Start members that all have read the list of instances."""
        self.now_s = 0.0
        self.names = [f'm{number}' for number in range(count)]
        self.lost = set()
        self.stopped = set()
        self.members = {}
        self.incarnation = 0
        self.packets = 0
        self.seed = seed
        for name in self.names:
            self.start(name)

    def start(self, name):
        """Start a member, or restart it with a higher incarnation."""
        self.incarnation += 1
        self.stopped.discard(name)
        own = Member(name, name, incarnation=self.incarnation)
        rng = random.Random(self.seed * 1000 + self.incarnation)
        self.members[name] = Membership(own, MembershipPolicy(), rng)
        seeds = tuple(Member(other, other) for other in self.names)
        self.members[name].apply(SeedsListed(seeds), self.now_s)

    def run(self, seconds):
        """Advance the clock of all running members."""
        for _ in range(round(seconds / STEP_S)):
            self.now_s += STEP_S
            for name in self.names:
                if name not in self.stopped:
                    self.send(name, TimePassed())

    def send(self, name, event):
        """Apply an event to a member and deliver all resulting packets."""
        waiting = [(name, event)]
        while waiting:
            receiver, arrived = waiting.pop(0)
            commands = self.members[receiver].apply(arrived, self.now_s)
            for command in commands:
                self.packets += 1
                if self.reaches(receiver, command.address):
                    waiting.append(
                        (command.address, PacketArrived(command.packet)),
                    )

    def reaches(self, sender, receiver):
        """Return whether a packet arrives."""
        return receiver not in self.stopped and (
            (sender, receiver) not in self.lost
        )

    def live(self, name):
        """Return the names of the members that a member considers live."""
        return {member.name for member in self.members[name].live}


class TestMembership:
    """Test joining, failure detection, refutation and leaving."""

    @pytest.mark.parametrize('count', [2, 8, 32])
    def test_members_discover_each_other(self, count):
        """Members discover each other from the list."""
        network = Network(count)
        network.run(4)
        for name in network.names:
            assert network.live(name) == set(network.names)

    @pytest.mark.parametrize('count', [3, 8])
    def test_dead_member_is_detected(self, count):
        """A killed member is no longer live for any other."""
        network = Network(count)
        network.run(4)
        network.stopped.add('m0')
        network.run(6)
        for name in network.names[1:]:
            assert 'm0' not in network.live(name)

    def test_one_way_loss_does_not_kill(self):
        """A member that only one other cannot reach stays live."""
        network = Network(8)
        network.run(4)
        network.lost.add(('m0', 'm1'))
        for _ in range(100):
            network.run(0.2)
            for name in network.names[2:]:
                assert 'm1' in network.live(name)
        network.lost.clear()
        network.run(4)
        assert network.live('m0') == set(network.names)

    def test_partitions_merge(self):
        """Two partitions merge once the network between them is restored."""
        network = Network(6)
        network.run(4)
        partitions = (network.names[:3], network.names[3:])
        network.lost = {
            pair
            for one in partitions[0]
            for other in partitions[1]
            for pair in ((one, other), (other, one))
        }
        network.run(8)
        assert network.live('m0') == set(partitions[0])
        network.lost.clear()
        network.run(8)
        for name in network.names:
            assert network.live(name) == set(network.names)

    def test_paused_member_refutes_its_death(self):
        """A member that was declared dead while paused refutes it."""
        network = Network(5)
        network.run(4)
        network.stopped.add('m2')
        network.run(6)
        network.stopped.discard('m2')
        network.run(6)
        for name in network.names:
            assert network.live(name) == set(network.names)

    def test_restarted_member_has_new_incarnation(self):
        """A member restarted at the same address replaces the old one."""
        network = Network(5)
        network.run(4)
        network.start('m3')
        network.run(4)
        expected = network.members['m3'].own.incarnation
        for name in network.names:
            incarnations = {
                member.name: member.incarnation
                for member in network.members[name].live
            }
            assert incarnations['m3'] == expected

    def test_leaving_member_is_not_serving(self):
        """A leaving member is no longer serving, but still live."""
        network = Network(5)
        network.run(4)
        network.send('m1', OwnStateChanged(leaving=True, tree_version=0))
        network.run(1)
        for name in network.names:
            serving = {member.name for member in network.members[name].serving}
            assert 'm1' not in serving
            assert 'm1' in network.live(name)

    def test_tree_version_spreads(self):
        """A tree version announced by one member reaches all others."""
        network = Network(32)
        network.run(4)
        network.send('m7', OwnStateChanged(leaving=False, tree_version=9))
        network.run(3)
        for name in network.names:
            versions = {
                member.name: member.tree_version
                for member in network.members[name].live
            }
            assert versions['m7'] == 9

    def test_packets_do_not_grow_with_members(self):
        """The packets of a member for each of its probes are constant.

        Its rate of packets never grows, as large groups probe more rarely.
        """
        rates, packets_a_probe = [], []
        for count in (8, 32, 64):
            network = Network(count)
            network.run(6)
            network.packets = 0
            network.run(10)
            rates.append(network.packets / count / 10)
            interval_s = network.members['m1'].probe_interval_s
            packets_a_probe.append(rates[-1] * interval_s)
        assert max(packets_a_probe) <= min(packets_a_probe) * 1.2
        assert max(rates) <= rates[0] * 1.2


class MembershipMachine(RuleBasedStateMachine):
    """Random faults, after which all running members must agree."""

    @initialize(seed=st.integers(0, 1000))
    def start(self, seed):
        """Start five members."""
        self.network = Network(5, seed)
        self.network.run(4)

    @rule(name=st.integers(0, 4))
    def stop(self, name):
        """Kill or pause a member."""
        self.network.stopped.add(f'm{name}')

    @rule(name=st.integers(0, 4))
    def replace(self, name):
        """Restart a member with a higher incarnation."""
        self.network.start(f'm{name}')

    @rule(name=st.integers(0, 4))
    def resume(self, name):
        """Resume a stopped member."""
        self.network.stopped.discard(f'm{name}')

    @rule(one=st.integers(0, 4), other=st.integers(0, 4))
    def lose(self, one, other):
        """Start to lose all packets from one member to another."""
        self.network.lost.add((f'm{one}', f'm{other}'))

    @rule(seconds=st.sampled_from((0.2, 1.0, 3.0)))
    def wait(self, seconds):
        """Advance the clock."""
        self.network.run(seconds)

    @precondition(lambda self: len(self.network.stopped) < 5)
    @rule()
    def heal(self):
        """Stop the packet loss; then exactly the running members are live."""
        self.network.lost.clear()
        self.network.run(10)
        running = set(self.network.names) - self.network.stopped
        for name in running:
            live = self.network.live(name)
            assert live == running, (name, live, running)


TestMembershipMachine = MembershipMachine.TestCase
