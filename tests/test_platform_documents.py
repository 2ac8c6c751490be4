"""Test how the platform's documents are decoded."""

import copy

import orjson
import pytest

from siskinpass.exceptions import FormatError, SettingsError
from siskinpass.platform import directory, objects
from siskinpass.platform.check import find_faults
from siskinpass.platform.config import decode_config
from siskinpass.platform.servers import decode_server
from siskinpass.platform.settings_file import decode_settings
from siskinpass.process.membership import Member
from siskinpass.version.routes import Repeat

SETTINGS = """
node-name: "front-a-1"
ip: "127.0.0.1"
zone: "a"
unknown-field: {x: 1}
listen: {front: "127.0.0.1:80", ready: "127.0.0.1:81",
         directory: "127.0.0.1:82"}
internal-port-range: [7340, 7355]
platform: {address: "127.0.0.1:90"}
bounds: {ttl_max_s: 4, grace-s: 6, retry-slack: 54}
"""
ROUTE = {
    'name': 'r',
    'host': 'h.example',
    'path-prefix': '/p/',
    'route-type': 'stream',
    'timeout-ms': 15000,
    'target-latency-ms': 2500,
    'target-gap-ms': 800,
    'priority': 2,
    'service': 'lm',
    'max-attempts': 2,
    'stream-resume': True,
}
SERVICE = {
    'name': 'lm',
    'max-connections': 360,
    'engine': {'slots': 64, 'kv-capacity-tokens': 1000.0},
}
CONFIG = {
    'version': 7,
    'routes': [ROUTE],
    'services': [SERVICE],
    'limits': {'max-body-bytes': 99, 'idle-timeout-ms': 15000},
    'tenants': [{'name': 'w', 'api-keys': ['k'], 'priority': 1}],
}
WORKER = {
    'service': 'lm',
    'address': '10.0.0.1:80',
    'zone': 'a',
    'slots': 64,
    'state': 'ready',
    'born': 17,
}


def changed(document, path, value):
    """Return a copy of a document with one field changed, None drops it."""
    copied = copy.deepcopy(document)
    table = copied
    for step in path[:-1]:
        table = table[step]
    if value is None:
        table.pop(path[-1])
    else:
        table[path[-1]] = value
    return copied


class TestSettings:
    """Test the settings file."""

    def test_reads_fields_and_ignores_unknown(self):
        """Times come in seconds, what is not stated has a default."""
        settings = decode_settings(SETTINGS.encode())
        assert settings.peers == '127.0.0.1:7340'
        assert settings.promises.directory_s == pytest.approx(4)
        assert settings.promises.retries.slack == pytest.approx(54)
        assert settings.promises.retries.ratio == pytest.approx(0.2)

    @pytest.mark.parametrize(
        ('old', 'new'),
        [
            ('ip: "127.0.0.1"', ''),
            ('zone: "a"', 'zone: 5'),
            ('[7340, 7355]', '[]'),
            ('grace-s: 6', 'grace-s: soon'),
            ('node-name', '{node-name'),
        ],
    )
    def test_tells_what_is_wrong(self, old, new):
        """A missing or wrong field is an error, nothing is half started."""
        with pytest.raises(SettingsError):
            decode_settings(SETTINGS.replace(old, new).encode())


class TestConfig:
    """Test the operator's configuration."""

    def test_reads_a_whole_table(self):
        """Each name is decoded once, into seconds and checked types."""
        table = decode_config(CONFIG)
        route = table.routes[0]
        assert (table.version, route.repeat) == (7, Repeat.stream)
        assert (route.timeout_s, route.pause_s) == (15.0, 0.8)
        assert (route.is_resumable, route.attempts_most) == (True, 2)
        assert table.services['lm'].engine.memory_tokens == 1000
        assert table.limits.body_bytes == 99
        assert table.workspace_of('k').tier == 1

    def test_splits_by_weight(self):
        """A split replaces the single service; weight 0 gets nothing."""
        split = [
            {'service': 'a', 'weight': 9},
            {'service': 'b', 'weight': 0},
        ]
        config = changed(CONFIG, ('routes', 0, 'traffic-split'), split)
        shares = decode_config(config).routes[0].shares
        assert [share.service for share in shares] == ['a']

    @pytest.mark.parametrize('document', [5, None, 'text', [CONFIG]])
    def test_no_table_is_no_configuration(self, document):
        """A value of another kind is told apart from a configuration."""
        with pytest.raises(FormatError):
            decode_config(document)

    @pytest.mark.parametrize(
        ('path', 'value'),
        [
            (('version',), 'seven'),
            (('routes', 0), 'text'),
            (('routes', 0, 'host'), None),
            (('routes', 0, 'route-type'), 'other'),
            (('routes', 0, 'timeout-ms'), True),
            (('routes', 0, 'traffic-split'), [{'service': 'a', 'weight': 0}]),
            (('services', 0, 'name'), 5),
            (('tenants', 0, 'api-keys'), 'k'),
        ],
    )
    def test_refuses_a_wrong_table_whole(self, path, value):
        """No part of a table with a fault is applied."""
        with pytest.raises(FormatError):
            decode_config(changed(CONFIG, path, value))


class TestFaults:
    """Test that a check tells every fault with its place."""

    @pytest.mark.parametrize(
        ('document', 'places'),
        [
            (CONFIG, []),
            (CONFIG | {'routes': [ROUTE, 5, {}]}, ['routes/1', 'routes/2']),
            (
                CONFIG | {'services': {}, 'tenants': [{}]},
                ['services', 'tenants/0'],
            ),
            (CONFIG | {'version': 'x'}, ['']),
        ],
    )
    def test_names_places(self, document, places):
        """Faults of several rows are told at once."""
        faults = find_faults(orjson.dumps(document))
        assert [fault.path for fault in faults] == places

    @pytest.mark.parametrize(
        ('text', 'count'),
        [(SETTINGS, 0), ('node-name: 5', 1), ('{', 1), ('5', 1)],
    )
    def test_reads_settings(self, text, count):
        """A document without routes is a settings file."""
        assert len(find_faults(text.encode())) == count


class TestWorkers:
    """Test the entries of backend servers."""

    def test_reads_an_entry(self):
        """The entry's name is the server's id."""
        view = decode_server('i-1', WORKER)
        assert (view.name, view.pool, view.slots) == ('i-1', 'lm', 64)
        assert (view.leaving, view.incarnation) == (False, 17)

    def test_draining_is_leaving(self):
        """A draining server gets nothing new."""
        assert decode_server('i-1', WORKER | {'state': 'draining'}).leaving

    @pytest.mark.parametrize(
        'entry',
        [
            None,
            'text',
            [],
            {},
            WORKER | {'state': 'asleep'},
            WORKER | {'state': 5},
            WORKER | {'address': 'nowhere'},
            WORKER | {'service': None},
            WORKER | {'slots': 'many'},
            WORKER | {'born': 1.5},
        ],
    )
    def test_unreadable_entry_names_no_server(self, entry):
        """An entry of another writer is an error to its reader alone."""
        with pytest.raises(FormatError):
            decode_server('i-1', entry)


class TestObjects:
    """Test the store's pages."""

    def test_reads_pages(self):
        """A page that has more names where to go on."""
        row = {'metadata': {'name': 'x', 'revision': 4}, 'spec': {'a': 1}}
        body = {'items': [row], 'has-more': True, 'current-rev': 9}
        page = objects.decode_list(orjson.dumps(body))
        assert (page.next_name, page.revision) == ('x', 9)
        assert page.stored[0].body == {'a': 1}

    def test_reads_changes(self):
        """A deletion is told apart from a change."""
        row = {'metadata': {'name': 'x'}}
        event = {'object': row, 'deleted': True}
        body = {'events': [event], 'current-rev': 9}
        page = objects.decode_watch(orjson.dumps(body))
        assert page.stored[0].is_deleted

    @pytest.mark.parametrize(
        'body',
        [b'', b'[]', b'{"items":[]}', b'{"items":[5],"current-rev":1}'],
    )
    def test_refuses_unreadable_pages(self, body):
        """Bytes that cannot be read are an error."""
        with pytest.raises(FormatError):
            objects.decode_list(body)


class TestDirectory:
    """Test what callers and instances ask."""

    @pytest.mark.parametrize(
        ('target', 'zone'),
        [
            ('/-/resolution?name=h&zone=a&region=r', 'a'),
            ('/-/resolution', ''),
        ],
    )
    def test_reads_questions(self, target, zone):
        """The zone may be missing."""
        assert directory.decode_resolution_query(target).zone == zone

    def test_other_paths_are_no_question(self):
        """Another path gets no answer."""
        assert directory.decode_resolution_query('/other') is None

    def test_members_survive_the_store(self):
        """An instance is read back as it was written."""
        member = Member('n', '1.1.1.1:1', '1.1.1.1:2', 'a', incarnation=5)
        stored = directory.encode_member(member)
        assert directory.decode_member(stored) == member
        assert directory.decode_member({'other': 1}) is None
        assert directory.decode_member(None) is None
