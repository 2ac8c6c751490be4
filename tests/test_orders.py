"""Test the model orders to engines and their fencing."""

import signal

from siskinpass.process.orders import REPEAT_S, EngineReport, OrderPlan
from tests.processes import counter, send_jobs, target, wait_until

WANTED = frozenset(('m1', 'm2'))


def reports(**models):
    """Return engine reports; ``None`` stands for an engine without answer."""
    return [
        EngineReport(name, None if held is None else frozenset(held))
        for name, held in models.items()
    ]


class TestOrderPlan:
    """Test which orders are sent, and when."""

    def test_one_engine_loads_at_a_time(self):
        """The next engine is ordered to load once the first has finished.

        Otherwise all engines would read from the weight store at once.
        """
        plan = OrderPlan()
        mismatched = reports(a=['m1'], b=['m1'], c=WANTED)
        first = plan.next_orders(WANTED, mismatched, 7, 0.0)
        assert [(one.engine, one.fence) for one in first] == [('a', 7)]
        assert not plan.next_orders(WANTED, mismatched, 7, 1.0)
        done = reports(a=WANTED, b=['m1'], c=WANTED)
        assert plan.next_orders(WANTED, done, 7, 2.0)[0].engine == 'b'

    def test_order_without_effect_is_repeated_unchanged(self):
        """The repeated order states the same full set of models."""
        plan = OrderPlan()
        mismatched = reports(a=[])
        one = plan.next_orders(WANTED, mismatched, 7, 0.0)
        again = plan.next_orders(WANTED, mismatched, 7, REPEAT_S)
        assert one == again

    def test_unreachable_engine_gets_no_order(self):
        """No order is made from an unknown state."""
        plan = OrderPlan()
        assert not plan.next_orders(WANTED, reports(a=None), 7, 0.0)


class TestEngines:
    """Test orders with real instance and engine processes."""

    def test_engines_load_models_added_to_the_tree(self, fresh):
        """A model added to the tree is loaded by all engines and served."""
        reply = fresh.call_operator_api('GET', '/tree')
        tree = reply['tree']
        tree['pools']['lm']['models'] = ['fieltro-chat', 'fieltro-new']
        fresh.propose(tree, reply['version'])
        wait_until(
            lambda: all(
                'fieltro-new' in fresh.read(name, '/load')['models']
                for name in fresh.plan.engines
            ),
            'all engines to hold the new model',
        )
        where = target(fresh)
        where.model = 'fieltro-new'
        assert send_jobs([counter()], where)[0].complete

    def test_paused_lease_holder_sends_no_stale_orders(self, fresh):
        """A lease holder that was paused past its lease sends no order.

        All orders must carry the fencing number of the new holder.
        """
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
        reply = fresh.call_operator_api(
            'GET', '/tree', b'', others[0].operators
        )
        tree = reply['tree']
        tree['pools']['lm']['models'] = ['fieltro-chat', 'fieltro-new']
        holder.process.send_signal(signal.SIGCONT)
        fresh.propose(tree, reply['version'])
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
