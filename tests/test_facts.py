"""Test what holds for all kinds of facts that instances share."""

import itertools
from dataclasses import replace

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from siskinpass.process.blocked_parts import BlockedParts
from siskinpass.process.crash_evidence import BrokenRequest
from siskinpass.process.facts import (
    FactTable,
    is_current,
    lifetime_s,
    renewal_s,
    subject_of,
)
from siskinpass.process.fleet import fact_topics
from siskinpass.process.fleet.path_reports import PathReport
from siskinpass.process.fleet.server_limits import (
    BrittleService,
    ServerLimit,
)
from siskinpass.process.version_history import (
    BASELINE_AFTER_S,
    MAX_STREAMS,
    STREAM_LIFE_S,
    StreamBegun,
    VersionHistory,
    VersionServed,
)
from siskinpass.process.workspace_shares import WorkReport
from siskinpass.request.ticket import ServerView

NOW_S = 10_000.0
LONG_AGO_S = 1e9
MAX_FACTS = 3
# One fact of each kind; another subject of the same kind differs in the text.
FACTS = (
    lambda text, at_s: StreamBegun(text, 'app', 'v1', at_s),
    lambda text, at_s: VersionServed('app', text, at_s),
    lambda text, at_s: BlockedParts(frozenset((text,)), at_s),
    lambda text, at_s: ServerLimit(text, 1, 2.5, at_s),
)
each_kind = pytest.mark.parametrize('fact', FACTS)


class TestFactTable:
    """Test how reports are merged, for each kind of fact."""

    @each_kind
    def test_any_order_gives_the_same(self, fact):
        """Lost reports aside, only the latest of each subject counts."""
        reports = [fact('a', NOW_S - age_s) for age_s in (40, 20, 0)]
        reports.append(fact('b', NOW_S - 30))
        for order in itertools.permutations((*reports, reports[0])):
            table = FactTable(MAX_FACTS)
            table.merge(order, NOW_S)
            assert set(table.current(NOW_S)) == {reports[2], reports[3]}

    @each_kind
    def test_repeated_reports_are_not_new(self, fact):
        """A report that is known already is not passed on again."""
        table = FactTable(MAX_FACTS)
        assert table.merge([fact('a', NOW_S)], NOW_S) == (fact('a', NOW_S),)
        assert not table.merge([fact('a', NOW_S)], NOW_S)
        assert not table.merge([fact('a', NOW_S - 1)], NOW_S)

    @each_kind
    def test_time_of_a_wrong_clock(self, fact):
        """Evidence of the future counts as of now, and can be renewed."""
        table = FactTable(MAX_FACTS)
        table.merge([fact('a', NOW_S + LONG_AGO_S)], NOW_S)
        assert table.current(NOW_S) == (fact('a', NOW_S),)
        later_s = NOW_S + max(1.0, renewal_s(fact('a', NOW_S)))
        assert table.merge([fact('a', later_s)], later_s)

    @each_kind
    def test_facts_expire(self, fact):
        """An expired one is neither found, nor added, nor kept."""
        end_s = NOW_S + lifetime_s(fact('a', NOW_S))
        if end_s == float('inf'):
            return
        table = FactTable(MAX_FACTS)
        old = fact('a', NOW_S)
        table.merge([old], NOW_S)
        assert table.find(subject_of(old), end_s - 1) == old
        assert table.find(subject_of(old), end_s) is None
        assert not is_current(old, end_s)
        assert table.expire(end_s) == (old,)
        assert not table.merge([old], end_s)

    @each_kind
    def test_number_is_bounded(self, fact):
        """Those that were renewed longest ago are dropped."""
        table = FactTable(MAX_FACTS)
        for number in range(MAX_FACTS):
            table.merge([fact(str(number), NOW_S)], NOW_S)
        table.merge([fact('0', NOW_S + 1), fact('new', NOW_S)], NOW_S + 1)
        subjects = {subject_of(one) for one in table.current(NOW_S + 1)}
        dropped = subject_of(fact('1', NOW_S))
        assert len(subjects) == MAX_FACTS
        assert dropped not in subjects

    @each_kind
    def test_dropped_fact(self, fact):
        """It is unknown until it is reported again."""
        table = FactTable(MAX_FACTS)
        table.merge([fact('a', NOW_S)], NOW_S)
        table.drop(subject_of(fact('a', NOW_S)))
        table.drop(subject_of(fact('a', NOW_S)))
        assert not table.current(NOW_S)
        assert table.merge([fact('a', NOW_S)], NOW_S)


SAMPLES = {
    'leaving': ServerView('i-1', '1.1.1.1:1', 'app', 'a', True, 6, 1, 'v1'),
    'limits': ServerLimit('i-1', 1, None, NOW_S),
    'broken': BrokenRequest('c', 'i-1/1', ('sys', 'bad'), 5, 1, 2),
    'cleared': ('sys', 'i-1/1'),
    'blamed': ('bad', 'i-1/1'),
    'blocked': BlockedParts(frozenset(('a', 'b')), NOW_S),
    'streams': StreamBegun('s', 'app', 'v1', NOW_S),
    'unrecorded': StreamBegun('s', 'app', 'v1', NOW_S),
    'paths': PathReport('front-1', True, ('i-1', 'i-2'), NOW_S),
    'brittle': BrittleService('app', 3.0, NOW_S),
    'work': WorkReport('front-1', 7, 'app', 1, 'w', 20.5, 31.0),
}


class Wire:
    """Announcements as the other instances receive them, twice."""

    def __init__(self):
        self.datagrams = 0
        self._receivers = {}

    def subscribe(self, topic, receive):
        self._receivers[topic] = receive

    def announce(self, topic, payload):
        self.datagrams += 1
        for _ in range(2):
            self._receivers[topic](orjson.loads(orjson.dumps(payload)))


class TestTopics:
    """Test the announcements of each kind of fact."""

    @pytest.mark.parametrize(
        'topic', fact_topics.TOPICS, ids=lambda topic: topic.name
    )
    def test_facts_arrive_as_they_were_sent(self, topic, monkeypatch):
        """Types and fields are the same on the other side."""
        monkeypatch.setattr(fact_topics.time, 'time', lambda: NOW_S)
        wire, received = Wire(), []
        topic.subscribe(wire, received.extend)
        sent = [SAMPLES[topic.name]] * (fact_topics.MAX_ROWS + 1)
        topic.announce(wire, sent)
        assert received == sent * 2
        assert wire.datagrams == 2

    def test_each_topic_has_a_sample(self):
        """A new kind of fact has to be added above."""
        names = [topic.name for topic in fact_topics.TOPICS]
        assert sorted(names) == sorted(SAMPLES)


def serving(*versions, service='app'):
    """Return versions of a service that have servers."""
    return [(service, version) for version in versions]


class TestVersionHistory:
    """Test what is known of the version that began a stream."""

    @pytest.mark.parametrize(
        ('listings', 'now_s', 'is_complete', 'expected'),
        [
            ([('v1',)], NOW_S, True, 'v1'),
            ([('v1',)], NOW_S, False, None),
            ([('v1', 'v2')], NOW_S, True, None),
            ([('v1',), ('v2',)], NOW_S, True, None),
            ([('v1',), ('v2',)], NOW_S + STREAM_LIFE_S - 1, True, None),
            ([('',)], NOW_S, True, ''),
            ([()], NOW_S, True, None),
        ],
    )
    def test_stream_that_is_not_known(
        self, listings, now_s, is_complete, expected
    ):
        """It counts only if one version can have begun it."""
        history = VersionHistory()
        for versions in listings:
            history.note_served(serving(*versions), NOW_S)
        found = history.origin('s', ['app'], now_s, is_complete=is_complete)
        assert (found and found.version) == expected

    def test_version_that_left_long_ago(self):
        """After the life of a stream it can have begun none any more."""
        history = VersionHistory()
        history.note_served(serving('v1'), NOW_S)
        end_s = NOW_S + STREAM_LIFE_S
        history.note_served(serving('v2'), end_s)
        found = history.origin('s', ['app'], end_s, is_complete=True)
        assert found.version == 'v2'

    def test_known_stream(self):
        """It is found whatever serves, for as long as it may be taken up."""
        history = VersionHistory()
        history.note_served(serving('v1', 'v2'), NOW_S)
        known = StreamBegun('s', 'app', 'v1', NOW_S)
        history.streams.merge([known], NOW_S)
        end_s = NOW_S + STREAM_LIFE_S
        for now_s, expected in ((end_s - 1, known), (end_s, None)):
            assert (
                history.origin('s', ['app'], now_s, is_complete=False)
                == expected
            )

    def test_services_of_a_route(self):
        """Each of them may have begun a stream that is not known."""
        history = VersionHistory()
        listed = serving('v1'), serving('v2', service='other')
        history.note_served(itertools.chain(*listed), NOW_S)
        one = history.origin('s', ['app'], NOW_S, is_complete=True)
        both = history.origin('s', ['app', 'other'], NOW_S, is_complete=True)
        assert one.version == 'v1'
        assert both is None
        alone, shared = frozenset(('app',)), frozenset(('app', 'other'))
        assert not history.mixed([alone], NOW_S)
        assert history.mixed([alone, shared], NOW_S) == shared

    @pytest.mark.parametrize(
        ('alone_s', 'has_records', 'expected'),
        [
            (BASELINE_AFTER_S, True, 'v1'),
            (BASELINE_AFTER_S - 1, True, None),
            (BASELINE_AFTER_S, False, None),
        ],
    )
    def test_baseline(self, alone_s, has_records, expected):
        """It began what has no record, if it served alone for long enough."""
        history = VersionHistory()
        history.note_served(serving('v1'), NOW_S)
        history.update_baselines(['app'], NOW_S)
        later_s = NOW_S + alone_s
        history.update_baselines(['app'], later_s)
        history.note_served(serving('v1', 'v2'), later_s)
        history.update_baselines(['app'], later_s)
        found = history.origin(
            's', ['app'], later_s, is_complete=True, has_records=has_records
        )
        assert (found and found.version) == expected

    @pytest.mark.parametrize(
        ('recorded', 'expected'),
        [
            ({'v1': 2}, 'v1'),
            ({'v1': 1}, None),
            ({'v1': 0, 'v2': 2}, 'v2'),
            ({'v1': 2, 'v2': 2}, None),
            ({}, None),
        ],
    )
    def test_recorded_baseline(self, recorded, expected):
        """It counts in its era of the store, and if no other does."""
        history = VersionHistory()
        facts = [
            VersionServed('app', version, NOW_S, era)
            for version, era in recorded.items()
        ]
        history.adopt_baselines(facts, 2)
        assert history.baseline('app') == expected

    def test_table_that_may_have_dropped_streams(self):
        """What it does not hold may have been known once."""
        history = VersionHistory()
        history.adopt_baselines([VersionServed('app', 'v1', NOW_S, 1)], 1)
        history.note_served(serving('v1', 'v2'), NOW_S)
        history.streams.merge(
            (
                StreamBegun(f's{number}', 'app', 'v2', NOW_S)
                for number in range(MAX_STREAMS)
            ),
            NOW_S,
        )
        found = history.origin(
            's', ['app'], NOW_S, is_complete=True, has_records=True
        )
        assert found is None

    @given(st.permutations(range(6)), st.sets(st.integers(0, 5)))
    def test_lost_and_reordered_reports(self, order, lost):
        """A stream is never taken for one of another version."""
        history = VersionHistory()
        history.note_served(serving('v0', 'v1'), NOW_S)
        streams = [
            StreamBegun(f's{number}', 'app', f'v{number % 2}', NOW_S - number)
            for number in range(6)
        ]
        for number in order:
            if number not in lost:
                history.streams.merge([streams[number]], NOW_S)
                history.streams.merge(
                    [replace(streams[number], at_s=NOW_S)], NOW_S
                )
        for number, stream in enumerate(streams):
            found = history.origin(
                stream.stream, ['app'], NOW_S, is_complete=True
            )
            assert (found is None) is (number in lost)
            assert found is None or found.version == stream.version
