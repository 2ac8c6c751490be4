"""Test that a lease has at most one holder, also when processes pause."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from siskinpass.process.lease import LeaseLogic, LeaseRecord

LENGTH_S = 6.0
MARGIN_S = 1.5


class TestLeaseLogic:
    """Test single steps of acquiring a lease."""

    def test_new_lease_has_fence_one(self):
        """A lease without an object is acquired at once."""
        logic = LeaseLogic('a', LENGTH_S, MARGIN_S)
        logic.observe(None, 0, 0.0)
        write = logic.next_write(0.0)
        assert (write.record.fence, write.version) == (1, 0)

    def test_takeover_waits_for_expiry(self):
        """A lease is taken over only after it was unchanged for its length."""
        logic = LeaseLogic('a', LENGTH_S, MARGIN_S)
        held = LeaseRecord('b', 4, LENGTH_S)
        logic.observe(held, 9, 0.0)
        logic.observe(held, 9, 5.9)
        assert logic.next_write(5.9) is None
        assert logic.next_write(6.0).record.fence == 5

    def test_unconfirmed_write_gives_no_lease(self):
        """A write with an unknown outcome does not give the lease."""
        logic = LeaseLogic('a', LENGTH_S, MARGIN_S)
        logic.observe(None, 0, 0.0)
        logic.next_write(0.0)
        logic.write_failed()
        assert logic.fence(0.1) is None


class LeaseMachine(RuleBasedStateMachine):
    """Two instances compete for one lease object."""

    def __init__(self):
        """Start without a lease object."""
        super().__init__()
        self.now_s = 0.0
        self.record = None
        self.version = 0
        self.last_fence = 0
        self.logics = [
            LeaseLogic(name, LENGTH_S, MARGIN_S) for name in ('a', 'b')
        ]
        self.pending = [None, None]

    @rule(instance=st.integers(0, 1))
    def read(self, instance):
        """Read the lease object."""
        logic = self.logics[instance]
        if logic.fence(self.now_s) is None:
            logic.observe(self.record, self.version, self.now_s)

    @rule(instance=st.integers(0, 1))
    def decide(self, instance):
        """Decide on a write, which may reach the store much later."""
        self.pending[instance] = self.logics[instance].next_write(self.now_s)

    @rule(instance=st.integers(0, 1), lost=st.booleans())
    def write(self, instance, lost):
        """Apply a decided write in the store.

        :param lost: whether the store's confirmation is lost.
        """
        write, self.pending[instance] = self.pending[instance], None
        if write is None:
            return
        logic = self.logics[instance]
        if write.version != self.version:
            logic.write_failed()
            return
        self.version += 1
        self.record = write.record
        self.last_fence = max(self.last_fence, write.record.fence)
        if lost:
            logic.write_failed()
        else:
            logic.write_confirmed(write, self.version)

    @rule(step=st.floats(0.1, 20))
    def wait(self, step):
        """Advance the clock, up to a process pause longer than the lease."""
        self.now_s += step

    @invariant()
    def one_holder(self):
        """At most one instance considers itself the holder."""
        fences = [logic.fence(self.now_s) for logic in self.logics]
        assert fences.count(None) >= 1

    @invariant()
    def holder_has_the_highest_fence(self):
        """The holder has the highest fencing number written so far."""
        for logic in self.logics:
            fence = logic.fence(self.now_s)
            assert fence is None or fence == self.last_fence


TestLeaseMachine = LeaseMachine.TestCase
