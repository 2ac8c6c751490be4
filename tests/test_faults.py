"""Bring about the failures that the promises must survive."""

import signal
import threading

from siskinpass.codes import Code
from tests.processes import (
    ask,
    counter,
    metric_sum,
    order,
    pattern,
    service_runs,
    target,
    wait_until,
)

RETRIES = 'siskinpass_retries_total'


def in_background(jobs, where):
    """Send jobs from another thread; return a function that waits."""
    answers = []

    def send():
        answers.extend(ask(jobs, where))

    thread = threading.Thread(target=send)
    thread.start()

    def wait():
        thread.join()
        return answers

    return wait


def open_streams(cluster):
    """Return how many streams the engines have open."""
    return sum(
        run['end'] == 'open' and run['sent'] > 3
        for name in cluster.plan.engines
        if cluster.processes[name].poll() is None
        for tries in cluster.read(name, '/log').values()
        for run in tries
    )


def broker_entry(cluster, group='lm'):
    """Return the entry that holds the broker of a group."""
    for entry in cluster.entries:
        if entry.process.poll() is not None:
            continue
        if group in cluster.status(entry)['brokers']:
            return entry
    raise AssertionError('no broker')


class TestEngines:
    """Test engines that crash, fall silent, cross answers or leave."""

    def test_streams_of_a_crashed_engine_go_on(self, fresh):
        """The caller gets one whole answer, no token lost or doubled."""
        jobs = [pattern(tokens=250) for _ in range(9)]
        wait = in_background(jobs, target(fresh))
        wait_until(lambda: open_streams(fresh) == 9, 'nine open streams')
        fresh.kill(fresh.processes['engine-1'])
        assert [answer.fault for answer in wait()] == [''] * 9
        assert metric_sum(fresh, RETRIES, 'reason="retry_stream_cut"') > 0

    def test_silent_connections_are_replaced(self, healed):
        """A stream that falls silent for good goes on over a new one."""
        jobs = [pattern(tokens=250) for _ in range(6)]
        wait = in_background(jobs, target(healed))
        wait_until(lambda: open_streams(healed) >= 6, 'six open streams')
        for name in healed.plan.engines:
            healed.fault(name=name, kind='silence')
        assert [answer.fault for answer in wait()] == [''] * 6
        reason = 'reason="retry_stream_silent"'
        assert metric_sum(healed, RETRIES, reason) >= 6

    def test_crossed_answer_is_fetched_anew(self, healed):
        """An answer for another request never reaches the caller."""
        for name in healed.plan.engines:
            healed.order(name, {'cross': 1}, '/admin/cross')
        answers = ask([counter() for _ in range(6)], target(healed))
        for name in healed.plan.engines:
            healed.order(name, {'cross': 0}, '/admin/cross')
        assert [answer.fault for answer in answers] == [''] * 6
        reason = 'reason="retry_answer_crossed"'
        assert metric_sum(healed, RETRIES, reason) > 0

    def test_leaving_engine_gets_nothing_new(self, healed):
        """An engine that the list calls leaving is left alone everywhere."""
        leaving = {'name': 'engine-1', 'state': 'leaving'}
        healed.order('platform', [leaving], '/admin/instances')
        try:
            wait_until(
                lambda: all(
                    _is_leaving(healed, entry) for entry in healed.entries
                ),
                'all brokers to know',
            )
            before = set(healed.read('engine-1', '/log'))
            answers = ask([counter() for _ in range(20)], target(healed))
            assert all(answer.complete for answer in answers)
            assert set(healed.read('engine-1', '/log')) == before
        finally:
            live = {'name': 'engine-1', 'state': 'live'}
            healed.order('platform', [live], '/admin/instances')


def _is_leaving(cluster, entry):
    brokers = cluster.status(entry)['brokers']
    if 'lm' not in brokers:
        return True
    return brokers['lm']['servers']['engine-1']['leaving']


class TestAtMostOnce:
    """Test orders, which must not run twice."""

    def test_repeated_key_gets_the_stored_answer(self, healed):
        """A caller's own retry at another entry runs nothing again."""
        first, second = healed.entries[:2]
        where = target(healed, first)
        where.seed = 11
        again = target(healed, second)
        again.seed = 11
        one = ask([order()], where)[0]
        assert one.complete
        wait_until(
            lambda: ask([order()], again)[0].status == 200,
            'the stored answer',
        )
        runs = [body for body in service_runs(healed) if 's11n0' in body]
        assert len(runs) == 1

    def test_store_down_means_not_run(self, healed):
        """Without the store an order is refused, and it did not run."""
        healed.order('platform', {'down': True}, '/admin/store')
        where = target(healed)
        where.seed = 12
        answers = ask([order() for _ in range(3)], where)
        assert {answer.code for answer in answers} == {Code.claim_store_down}
        assert {answer.ran for answer in answers} == {'no'}
        assert answers[0].retry_after_ms > 0
        assert not [body for body in service_runs(healed) if 's12n' in body]

    def test_lost_confirmation_of_a_claim(self, healed):
        """A claim whose confirmation was lost is known by its nonce."""
        lose = {'lose_confirmations': 2}
        healed.order('platform', lose, '/admin/store')
        where = target(healed)
        where.seed = 13
        answers = ask([order() for _ in range(4)], where)
        healed.order('platform', {'lose_confirmations': 0}, '/admin/store')
        runs = [body for body in service_runs(healed) if 's13n' in body]
        assert len(runs) == len(set(runs))
        assert len(runs) == sum(answer.complete for answer in answers)
        not_run = {a.number for a in answers if a.ran == 'no'}
        assert not [n for n in not_run if f'"order":"s13n{n}"' in str(runs)]

    def test_cut_service_call_is_unknown_and_not_repeated(self, healed):
        """A call that may have run is told as unknown, never sent again."""
        for name in healed.plan.services:
            healed.fault(name=name, kind='set', drop_back=True)
            healed.order(name, {'slow': 100}, '/admin/slow')
        where = target(healed)
        where.seed = 14
        wait = in_background([order()], where)
        wait_until(
            lambda: [b for b in service_runs(healed) if 's14n0' in b],
            'the run at the service',
        )
        for name in healed.plan.services:
            healed.fault(name=name, kind='cut')
            healed.order(name, {'slow': 1}, '/admin/slow')
        answer = wait()[0]
        assert (answer.code, answer.ran) == (Code.outcome_unknown, 'unknown')
        runs = [body for body in service_runs(healed) if 's14n0' in body]
        assert len(runs) == 1


class TestTree:
    """Test edits under races and outages."""

    def test_two_operators_at_once(self, healed):
        """Disjoint edits both hold; edits of one node conflict."""
        told = healed.call_operator_api('GET', '/tree')
        base, tree = told['version'], told['tree']
        mine = _edited(tree, 'norte', 'summary', 'max_wait_ms', 50_001)
        theirs = _edited(tree, 'sur', 'summary', 'max_wait_ms', 50_002)
        clash = _edited(tree, 'norte', 'summary', 'max_wait_ms', 50_003)
        assert healed.propose(mine, base)['version'] == base + 1
        assert healed.propose(theirs, base)['version'] == base + 2
        error = healed.propose(clash, base)['error']
        assert error['code'] == Code.tree_conflict
        assert error['changed'][0]['new'] == 50_001
        after = healed.call_operator_api('GET', '/tree')['tree']['workspaces']
        assert after['norte']['classes']['summary']['max_wait_ms'] == 50_001
        assert after['sur']['classes']['summary']['max_wait_ms'] == 50_002

    def test_edit_with_lost_confirmation_is_accepted_once(self, healed):
        """An edit is found by its nonce, not made twice."""
        told = healed.call_operator_api('GET', '/tree')
        base, tree = told['version'], told['tree']
        mine = _edited(tree, 'plaza', 'summary', 'max_wait_ms', 51_000 + base)
        lose = {'lose_confirmations': 3}
        healed.order('platform', lose, '/admin/store')
        assert healed.propose(mine, base)['version'] == base + 1
        healed.order('platform', {'lose_confirmations': 0}, '/admin/store')
        numbers = [
            edit['number']
            for edit in healed.call_operator_api('GET', '/history')
        ]
        assert numbers == sorted(set(numbers))

    def test_edit_is_in_force_everywhere(self, healed):
        """Every instance comes to the accepted version."""
        told = healed.call_operator_api('GET', '/tree')
        base, tree = told['version'], told['tree']
        edited = _edited(tree, 'taller', 'summary', 'max_wait_ms', 52_000)
        number = healed.propose(edited, base)['version']
        for entry in healed.entries:
            wait_until(
                lambda at=entry: healed.status(at)['version'] >= number,
                f'version {number} at {entry.name}',
            )

    def test_new_instance_starts_from_peers_while_store_is_down(self, fresh):
        """A replaced instance takes the tree from its peers."""
        third = fresh.entries[2]
        fresh.kill(third.process)
        fresh.order('platform', {'down': True}, '/admin/store')
        fresh.start_entry(third)
        fresh.wait_http(third.callers, '/readyz')
        assert fresh.status(third)['version'] == 1
        answers = ask([counter() for _ in range(4)], target(fresh, third))
        assert all(answer.complete for answer in answers)

    def test_instance_without_tree_is_not_ready(self, fresh):
        """With neither store nor peers an instance says so."""
        fresh.order('platform', {'down': True}, '/admin/store')
        for entry in fresh.entries:
            fresh.kill(entry.process)
        alone = fresh.entries[0]
        fresh.start_entry(alone)
        fresh.wait_http(alone.callers, '/healthz')
        url = f'http://{alone.callers}/readyz'
        answer = fresh.http.request('GET', url)
        assert answer.status == 503
        assert answer.headers['X-Siskinpass-Code'] == '2006'


def _edited(tree, workspace, leaf, name, level):
    """Return a tree with one setting changed."""
    branch = tree['workspaces'][workspace]
    classes = {
        **branch['classes'],
        leaf: {**branch['classes'][leaf], name: level},
    }
    workspaces = {
        **tree['workspaces'],
        workspace: {**branch, 'classes': classes},
    }
    return {**tree, 'workspaces': workspaces}


class TestInstances:
    """Test entry instances that are killed, paused, cut off or leave."""

    def test_broker_is_killed(self, fresh):
        """Others take over; no caller of theirs sees it."""
        ask([counter()], target(fresh))
        broker = broker_entry(fresh)
        others = [entry for entry in fresh.entries if entry is not broker]
        jobs = [counter(at_s=number / 20) for number in range(60)]
        jobs += [pattern() for _ in range(6)]
        wait = in_background(jobs, target(fresh, *others))
        wait_until(lambda: open_streams(fresh) >= 6, 'open streams')
        fresh.kill(broker.process)
        assert {answer.fault for answer in wait()} == {''}

    def test_broker_is_paused_and_wakes(self, fresh):
        """A paused broker is passed by, and is heard no more when it wakes."""
        ask([counter()], target(fresh))
        broker = broker_entry(fresh)
        others = [entry for entry in fresh.entries if entry is not broker]
        broker.process.send_signal(signal.SIGSTOP)
        jobs = [counter(at_s=number / 20) for number in range(40)]
        answers = ask(jobs, target(fresh, *others))
        broker.process.send_signal(signal.SIGCONT)
        assert all(answer.complete for answer in answers)
        fresh.wait_members(3)
        assert all(answer.complete for answer in ask(jobs, target(fresh)))

    def test_entry_is_cut_off_from_one_peer(self, healed):
        """One-way loss between two instances loses no request."""
        ask([counter()], target(healed))
        broker = broker_entry(healed)
        other = next(one for one in healed.entries if one is not broker)
        source = other.peers.rsplit(':', 1)[0]
        healed.fault(
            name=broker.name,
            kind='set',
            source=source,
            drop_out=True,
        )
        jobs = [counter(at_s=number / 20) for number in range(40)]
        answers = ask(jobs, target(healed, other))
        assert all(answer.complete for answer in answers)

    def test_graceful_stop_cuts_nothing(self, fresh):
        """Open streams end whole; a new request is told it was not run."""
        first = fresh.entries[0]
        wait = in_background(
            [pattern(tokens=250) for _ in range(6)],
            target(fresh, first),
        )
        wait_until(lambda: open_streams(fresh) == 6, 'six open streams')
        first.process.send_signal(signal.SIGTERM)
        others = fresh.entries[1:]
        wait_until(
            lambda: all(
                first.name not in _told_names(fresh, entry) for entry in others
            ),
            'the leaving instance to be told no more',
        )
        refused = wait_until(
            lambda: [
                answer
                for answer in ask([counter()], target(fresh, first))
                if answer.code == Code.instance_leaving
            ],
            'a refusal',
        )
        assert (refused[0].ran, refused[0].retry_after_ms > 0) == ('no', True)
        assert refused[0].address in {entry.callers for entry in others}
        assert {answer.fault for answer in wait()} == {''}
        assert first.process.wait(30) == 0

    def test_replaced_instance_is_a_new_incarnation(self, fresh):
        """An instance with the same address comes back after a kill."""
        second = fresh.entries[1]
        fresh.kill(second.process)
        wait_until(
            lambda: (
                fresh.status(fresh.entries[0])['instances'][second.name][
                    'state'
                ]
                == 'dead'
            ),
            'the death to be seen',
        )
        fresh.start_entry(second)
        fresh.wait_http(second.callers, '/readyz')
        fresh.wait_members(3)
        assert ask([counter()], target(fresh, second))[0].complete


def _told_names(cluster, entry):
    url = f'http://{entry.callers}/address'
    told = cluster.http.request('GET', url).json()
    return {found['name'] for found in told['addresses']}


class TestPriority:
    """Test that upper tiers do not wait behind lower ones."""

    def test_counter_passes_waiting_patterns_of_other_entries(self, healed):
        """Drafts at one entry do not hold up a counter request at another."""
        first, second = healed.entries[:2]
        wait = in_background(
            [pattern(tokens=120) for _ in range(120)],
            target(healed, first),
        )
        wait_until(
            lambda: _waiting(healed) >= 10,
            'drafts to wait at the broker',
        )
        answers = ask([counter() for _ in range(4)], target(healed, second))
        assert _waiting(healed) > 0, 'drafts still wait'
        assert all(answer.complete for answer in answers)
        assert all(answer.complete for answer in wait())


def _waiting(cluster):
    return sum(
        found['waiting']
        for entry in cluster.entries
        for group, found in cluster.status(entry)['brokers'].items()
        if group == 'lm'
    )
