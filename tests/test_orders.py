"""Test the orders to engines and their fencing."""

import signal

from siskinpass.process.orders import REPEAT_S, EngineReport, OrderPlan
from tests.processes import ask, counter, target, wait_until

WANTED = frozenset(('m1', 'm2'))


def reports(**models):
    """Return reports of engines by name."""
    return [
        EngineReport(name, None if held is None else frozenset(held))
        for name, held in models.items()
    ]


class TestOrderPlan:
    """Test which engine is ordered what, and when."""

    def test_one_loads_at_a_time(self):
        """The weight store is not asked by all engines at once."""
        plan = OrderPlan()
        astray = reports(a=['m1'], b=['m1'], c=WANTED)
        first = plan.next_orders(WANTED, astray, 7, 0.0)
        assert [(one.engine, one.fence) for one in first] == [('a', 7)]
        assert not plan.next_orders(WANTED, astray, 7, 1.0)
        done = reports(a=WANTED, b=['m1'], c=WANTED)
        assert plan.next_orders(WANTED, done, 7, 2.0)[0].engine == 'b'

    def test_order_is_repeated_unchanged(self):
        """An order without effect is given again and states its target."""
        plan = OrderPlan()
        astray = reports(a=[])
        one = plan.next_orders(WANTED, astray, 7, 0.0)
        again = plan.next_orders(WANTED, astray, 7, REPEAT_S)
        assert one == again

    def test_silent_engine_is_left_alone(self):
        """Nothing is ordered from what is not known."""
        plan = OrderPlan()
        assert not plan.next_orders(WANTED, reports(a=None), 7, 0.0)


class TestEngines:
    """Test orders with real processes."""

    def test_engines_come_to_hold_the_tree_s_models(self, fresh):
        """A model added to the tree is loaded, and then served."""
        told = fresh.operate('GET', '/tree')
        tree = told['tree']
        tree['pools']['lm']['models'] = ['fieltro-chat', 'fieltro-new']
        fresh.propose(tree, told['version'])
        wait_until(
            lambda: all(
                'fieltro-new' in fresh.read(name, '/load')['models']
                for name in fresh.plan.engines
            ),
            'all engines to hold the new model',
        )
        where = target(fresh)
        where.model = 'fieltro-new'
        assert ask([counter()], where)[0].whole

    def test_paused_holder_orders_nothing_late(self, fresh):
        """A holder that wakes after its lease gives no order of its own."""
        holder = wait_until(
            lambda: [
                entry
                for entry in fresh.entries
                if fresh.status(entry).get('holder') == entry.name
            ],
            'a holder of the lease',
        )[0]
        others = [one for one in fresh.entries if one is not holder]
        holder.process.send_signal(signal.SIGSTOP)
        names = {other.name for other in others}
        wait_until(
            lambda: fresh.status(others[0]).get('holder') in names,
            'another holder',
        )
        told = fresh.operate('GET', '/tree', b'', others[0].operators)
        tree = told['tree']
        tree['pools']['lm']['models'] = ['fieltro-chat', 'fieltro-new']
        holder.process.send_signal(signal.SIGCONT)
        fresh.propose(tree, told['version'])
        wait_until(
            lambda: all(
                'fieltro-new' in fresh.read(name, '/load')['models']
                for name in fresh.plan.engines
            ),
            'all engines to hold the new model',
        )
        orders = [
            order
            for name in fresh.plan.engines
            for order in fresh.read(name, '/admin/orders')
        ]
        assert orders
        assert {order['fence'] for order in orders} == {2}
        assert not [order for order in orders if order['late']]
