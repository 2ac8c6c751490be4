"""Test the lease as a state machine with paused holders."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from siskinpass.process.lease import LeaseLogic, LeaseRecord

LENGTH_S = 6.0
MARGIN_S = 1.5


class TestLeaseLogic:
    """Test single steps."""

    def test_first_taker_gets_fence_one(self):
        """An absent lease is taken at once."""
        logic = LeaseLogic('a', LENGTH_S, MARGIN_S)
        logic.observe(None, 0, 0.0)
        write = logic.next_write(0.0)
        assert (write.record.fence, write.version) == (1, 0)

    def test_lease_is_waited_out(self):
        """Another's lease is taken over only after its whole length."""
        logic = LeaseLogic('a', LENGTH_S, MARGIN_S)
        held = LeaseRecord('b', 4, LENGTH_S)
        logic.observe(held, 9, 0.0)
        logic.observe(held, 9, 5.9)
        assert logic.next_write(5.9) is None
        assert logic.next_write(6.0).record.fence == 5

    def test_unconfirmed_write_gives_no_lease(self):
        """A write with an unknown outcome does not count."""
        logic = LeaseLogic('a', LENGTH_S, MARGIN_S)
        logic.observe(None, 0, 0.0)
        logic.next_write(0.0)
        logic.write_failed()
        assert logic.fence(0.1) is None


class LeaseMachine(RuleBasedStateMachine):
    """Let two instances compete over one lease object."""

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

    @rule(who=st.integers(0, 1))
    def read(self, who):
        """Read the lease object."""
        logic = self.logics[who]
        if logic.fence(self.now_s) is None:
            logic.observe(self.record, self.version, self.now_s)

    @rule(who=st.integers(0, 1))
    def decide(self, who):
        """Decide on a write; it may reach the store much later."""
        self.pending[who] = self.logics[who].next_write(self.now_s)

    @rule(who=st.integers(0, 1), lost=st.booleans())
    def write(self, who, lost):
        """Let a decided write reach the store, maybe unconfirmed."""
        write, self.pending[who] = self.pending[who], None
        if write is None:
            return
        logic = self.logics[who]
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
        """Let time pass, as for a paused process."""
        self.now_s += step

    @invariant()
    def one_holder(self):
        """Two instances never both believe that they hold the lease."""
        fences = [logic.fence(self.now_s) for logic in self.logics]
        assert fences.count(None) >= 1

    @invariant()
    def holder_has_the_highest_fence(self):
        """Who believes to hold the lease has the latest number."""
        for logic in self.logics:
            fence = logic.fence(self.now_s)
            assert fence is None or fence == self.last_fence


TestLeaseMachine = LeaseMachine.TestCase
