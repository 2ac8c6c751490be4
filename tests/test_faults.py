"""Test that running deployments keep their promises through failures."""

import signal
import threading

from siskinpass.codes import Code
from tests.processes import (
    counter,
    metric_sum,
    order,
    pattern,
    send_jobs,
    service_runs,
    target,
    wait_until,
)

RETRIES = 'siskinpass_retries_total'


def in_background(jobs, where):
    """Send jobs from another thread.

    :returns: a function that waits for the answers and returns them.
    """
    answers = []

    def send():
        answers.extend(send_jobs(jobs, where))

    thread = threading.Thread(target=send)
    thread.start()

    def wait():
        thread.join()
        return answers

    return wait


def open_streams(cluster):
    """Return the number of open streams that sent more than three tokens."""
    return sum(
        run['end'] == 'open' and run['sent'] > 3
        for name in cluster.plan.engines
        if cluster.processes[name].poll() is None
        for tries in cluster.read(name, '/log').values()
        for run in tries
    )


def broker_entry(cluster, group='lm'):
    """Return the entry that hosts the broker of a group."""
    for entry in cluster.entries:
        if entry.process.poll() is not None:
            continue
        if group in cluster.status(entry)['brokers']:
            return entry
    raise AssertionError(f'no entry hosts the broker of {group}')


class TestEngines:
    """Test engines that crash, stall, mix up answers or leave."""

    def test_streams_of_crashed_engine_are_resumed(self, fresh):
        """Each caller gets a complete answer, no token lost or duplicated."""
        jobs = [pattern(tokens=250) for _ in range(9)]
        wait = in_background(jobs, target(fresh))
        wait_until(lambda: open_streams(fresh) == 9, 'nine open streams')
        fresh.kill(fresh.processes['engine-1'])
        assert [answer.fault for answer in wait()] == [''] * 9
        assert metric_sum(fresh, RETRIES, 'reason="retry_stream_cut"') > 0

    def test_silent_connections_are_replaced(self, restored):
        """A stream whose connection stays silent is resumed over a new one."""
        jobs = [pattern(tokens=250) for _ in range(6)]
        wait = in_background(jobs, target(restored))
        wait_until(lambda: open_streams(restored) >= 6, 'six open streams')
        for name in restored.plan.engines:
            restored.fault(name=name, kind='silence')
        assert [answer.fault for answer in wait()] == [''] * 6
        reason = 'reason="retry_stream_silent"'
        assert metric_sum(restored, RETRIES, reason) >= 6

    def test_crossed_answer_is_retried(self, restored):
        """An answer to another request is retried and never passed on."""
        for name in restored.plan.engines:
            restored.order(name, {'cross': 1}, '/admin/cross')
        answers = send_jobs([counter() for _ in range(6)], target(restored))
        for name in restored.plan.engines:
            restored.order(name, {'cross': 0}, '/admin/cross')
        assert [answer.fault for answer in answers] == [''] * 6
        reason = 'reason="retry_answer_crossed"'
        assert metric_sum(restored, RETRIES, reason) > 0

    def test_leaving_engine_gets_no_requests(self, restored):
        """No entry uses an engine that the list of instances calls leaving."""
        leaving = {'name': 'engine-1', 'state': 'leaving'}
        restored.order('platform', [leaving], '/admin/instances')
        try:
            wait_until(
                lambda: all(
                    _is_leaving(restored, entry) for entry in restored.entries
                ),
                'all brokers to see that the engine is leaving',
            )
            before = set(restored.read('engine-1', '/log'))
            answers = send_jobs(
                [counter() for _ in range(20)], target(restored)
            )
            assert all(answer.complete for answer in answers)
            assert set(restored.read('engine-1', '/log')) == before
        finally:
            live = {'name': 'engine-1', 'state': 'live'}
            restored.order('platform', [live], '/admin/instances')


def _is_leaving(cluster, entry):
    brokers = cluster.status(entry)['brokers']
    if 'lm' not in brokers:
        return True
    return brokers['lm']['servers']['engine-1']['leaving']


class TestAtMostOnce:
    """Test orders, which must run at most once."""

    def test_repeated_key_gets_the_stored_answer(self, restored):
        """A caller's retry at another entry does not run the order again."""
        first, second = restored.entries[:2]
        where = target(restored, first)
        where.seed = 11
        where_again = target(restored, second)
        where_again.seed = 11
        first_answer = send_jobs([order()], where)[0]
        assert first_answer.complete
        wait_until(
            lambda: send_jobs([order()], where_again)[0].status == 200,
            'the stored answer',
        )
        runs = [body for body in service_runs(restored) if 's11n0' in body]
        assert len(runs) == 1

    def test_store_down_means_not_run(self, restored):
        """If the store is down, an order is refused without running it."""
        restored.order('platform', {'down': True}, '/admin/store')
        where = target(restored)
        where.seed = 12
        answers = send_jobs([order() for _ in range(3)], where)
        assert {answer.code for answer in answers} == {Code.claim_store_down}
        assert {answer.ran for answer in answers} == {'no'}
        assert answers[0].retry_after_ms > 0
        assert not [body for body in service_runs(restored) if 's12n' in body]

    def test_lost_confirmation_of_a_claim(self, restored):
        """If confirmations of claims are lost, no order runs twice.

        Each order that ran has a complete answer, and none of these is
        reported as not run.
        """
        lose = {'lose_confirmations': 2}
        restored.order('platform', lose, '/admin/store')
        where = target(restored)
        where.seed = 13
        answers = send_jobs([order() for _ in range(4)], where)
        restored.order('platform', {'lose_confirmations': 0}, '/admin/store')
        runs = [body for body in service_runs(restored) if 's13n' in body]
        assert len(runs) == len(set(runs))
        assert len(runs) == sum(answer.complete for answer in answers)
        not_run = {a.number for a in answers if a.ran == 'no'}
        assert not [n for n in not_run if f'"order":"s13n{n}"' in str(runs)]

    def test_cut_service_call_is_unknown_and_not_repeated(self, restored):
        """A call that may have run is not retried; its outcome is unknown."""
        for name in restored.plan.services:
            restored.fault(name=name, kind='set', drop_back=True)
            restored.order(name, {'slow': 100}, '/admin/slow')
        where = target(restored)
        where.seed = 14
        wait = in_background([order()], where)
        wait_until(
            lambda: [b for b in service_runs(restored) if 's14n0' in b],
            'the run at the service',
        )
        for name in restored.plan.services:
            restored.fault(name=name, kind='cut')
            restored.order(name, {'slow': 1}, '/admin/slow')
        answer = wait()[0]
        assert (answer.code, answer.ran) == (Code.outcome_unknown, 'unknown')
        runs = [body for body in service_runs(restored) if 's14n0' in body]
        assert len(runs) == 1


class TestTree:
    """Test edits of the tree with races and outages."""

    def test_two_operators_at_once(self, restored):
        """Disjoint edits are both accepted; edits of one node conflict."""
        current = restored.call_operator_api('GET', '/tree')
        base, tree = current['version'], current['tree']
        first_edit = _edited(tree, 'norte', 'summary', 'max_wait_ms', 50_001)
        second_edit = _edited(tree, 'sur', 'summary', 'max_wait_ms', 50_002)
        conflicting_edit = _edited(
            tree, 'norte', 'summary', 'max_wait_ms', 50_003
        )
        assert restored.propose(first_edit, base)['version'] == base + 1
        assert restored.propose(second_edit, base)['version'] == base + 2
        error = restored.propose(conflicting_edit, base)['error']
        assert error['code'] == Code.tree_conflict
        assert error['changed'][0]['new'] == 50_001
        after = restored.call_operator_api('GET', '/tree')['tree']['workspaces']
        assert after['norte']['classes']['summary']['max_wait_ms'] == 50_001
        assert after['sur']['classes']['summary']['max_wait_ms'] == 50_002

    def test_edit_with_lost_confirmation_is_accepted_once(self, restored):
        """An edit whose confirmations were lost is accepted as one version."""
        current = restored.call_operator_api('GET', '/tree')
        base, tree = current['version'], current['tree']
        first_edit = _edited(
            tree, 'plaza', 'summary', 'max_wait_ms', 51_000 + base
        )
        lose = {'lose_confirmations': 3}
        restored.order('platform', lose, '/admin/store')
        assert restored.propose(first_edit, base)['version'] == base + 1
        restored.order('platform', {'lose_confirmations': 0}, '/admin/store')
        numbers = [
            edit['number']
            for edit in restored.call_operator_api('GET', '/history')
        ]
        assert numbers == sorted(set(numbers))

    def test_edit_is_in_force_everywhere(self, restored):
        """Every instance adopts the accepted version."""
        current = restored.call_operator_api('GET', '/tree')
        base, tree = current['version'], current['tree']
        edited = _edited(tree, 'taller', 'summary', 'max_wait_ms', 52_000)
        number = restored.propose(edited, base)['version']
        for entry in restored.entries:
            wait_until(
                lambda at=entry: restored.status(at)['version'] >= number,
                f'version {number} at {entry.name}',
            )

    def test_new_instance_starts_from_peers_while_store_is_down(self, fresh):
        """A restarted instance gets the tree from its peers."""
        third = fresh.entries[2]
        fresh.kill(third.process)
        fresh.order('platform', {'down': True}, '/admin/store')
        fresh.start_entry(third)
        fresh.wait_http(third.callers, '/readyz')
        assert fresh.status(third)['version'] == 1
        answers = send_jobs([counter() for _ in range(4)], target(fresh, third))
        assert all(answer.complete for answer in answers)

    def test_instance_without_tree_is_not_ready(self, fresh):
        """Without store and peers an instance reports that it is not ready."""
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
    """Return a copy of a tree with one setting changed."""
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
    """Test entry instances that are killed, suspended, cut off or leave."""

    def test_broker_is_killed(self, fresh):
        """Other instances take over; requests at these do not fail."""
        send_jobs([counter()], target(fresh))
        broker = broker_entry(fresh)
        others = [entry for entry in fresh.entries if entry is not broker]
        jobs = [counter(at_s=number / 20) for number in range(60)]
        jobs += [pattern() for _ in range(6)]
        wait = in_background(jobs, target(fresh, *others))
        wait_until(lambda: open_streams(fresh) >= 6, 'open streams')
        fresh.kill(broker.process)
        assert {answer.fault for answer in wait()} == {''}

    def test_broker_is_suspended_and_resumed(self, fresh):
        """Requests succeed while a broker is suspended and once it resumes."""
        send_jobs([counter()], target(fresh))
        broker = broker_entry(fresh)
        others = [entry for entry in fresh.entries if entry is not broker]
        broker.process.send_signal(signal.SIGSTOP)
        jobs = [counter(at_s=number / 20) for number in range(40)]
        answers = send_jobs(jobs, target(fresh, *others))
        broker.process.send_signal(signal.SIGCONT)
        assert all(answer.complete for answer in answers)
        fresh.wait_members(3)
        assert all(answer.complete for answer in send_jobs(jobs, target(fresh)))

    def test_entry_is_cut_off_from_one_peer(self, restored):
        """One-way packet loss between two instances fails no request."""
        send_jobs([counter()], target(restored))
        broker = broker_entry(restored)
        other = next(entry for entry in restored.entries if entry is not broker)
        source = other.peers.rsplit(':', 1)[0]
        restored.fault(
            name=broker.name,
            kind='set',
            source=source,
            drop_out=True,
        )
        jobs = [counter(at_s=number / 20) for number in range(40)]
        answers = send_jobs(jobs, target(restored, other))
        assert all(answer.complete for answer in answers)

    def test_graceful_stop_cuts_nothing(self, fresh):
        """Open streams complete; a new request is refused as not run."""
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
                first.name not in _addressed_names(fresh, entry)
                for entry in others
            ),
            'the leaving instance not to be returned to callers',
        )
        refused = wait_until(
            lambda: [
                answer
                for answer in send_jobs([counter()], target(fresh, first))
                if answer.code == Code.instance_leaving
            ],
            'a refusal',
        )
        assert (refused[0].ran, refused[0].retry_after_ms > 0) == ('no', True)
        assert refused[0].address in {entry.callers for entry in others}
        assert {answer.fault for answer in wait()} == {''}
        assert first.process.wait(30) == 0

    def test_replaced_instance_is_a_new_incarnation(self, fresh):
        """A killed instance can rejoin with the same address."""
        second = fresh.entries[1]
        fresh.kill(second.process)
        wait_until(
            lambda: (
                fresh.status(fresh.entries[0])['instances'][second.name][
                    'state'
                ]
                == 'dead'
            ),
            'the killed instance to be seen as dead',
        )
        fresh.start_entry(second)
        fresh.wait_http(second.callers, '/readyz')
        fresh.wait_members(3)
        assert send_jobs([counter()], target(fresh, second))[0].complete


def _addressed_names(cluster, entry):
    url = f'http://{entry.callers}/address'
    document = cluster.http.request('GET', url).json()
    return {found['name'] for found in document['addresses']}


class TestPriority:
    """Test that requests of upper tiers do not wait behind lower ones."""

    def test_counter_passes_waiting_patterns_of_other_entries(self, restored):
        """Counter requests do not wait for patterns sent to another entry."""
        first, second = restored.entries[:2]
        wait = in_background(
            [pattern(tokens=120) for _ in range(120)],
            target(restored, first),
        )
        wait_until(
            lambda: _waiting(restored) >= 10,
            'patterns to wait at the broker',
        )
        answers = send_jobs(
            [counter() for _ in range(4)], target(restored, second)
        )
        assert _waiting(restored) > 0, 'patterns still wait'
        assert all(answer.complete for answer in answers)
        assert all(answer.complete for answer in wait())


def _waiting(cluster):
    return sum(
        found['waiting']
        for entry in cluster.entries
        for group, found in cluster.status(entry)['brokers'].items()
        if group == 'lm'
    )
