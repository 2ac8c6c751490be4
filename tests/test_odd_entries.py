"""Test entries of other writers among those that instances read."""

import asyncio
import json
from threading import current_thread, main_thread
from types import SimpleNamespace

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from bench.fleet import (
    config,
    free_ports,
    route,
    running_fleet,
    server_entry,
    wait_until,
)
from siskinpass.exceptions import FormatError
from siskinpass.platform import fields, salvage
from siskinpass.platform.config import CONFIG_KIND
from siskinpass.platform.directory import decode_member
from siskinpass.platform.objects import (
    INSTANCES_KIND,
    decode_list,
    decode_watch,
)
from siskinpass.platform.part_records import PARTS_KIND
from siskinpass.platform.servers import decode_server
from siskinpass.platform.stream_records import STREAMS_KIND
from siskinpass.process.codec import encode_member, encode_server
from siskinpass.process.fleet.loads import LoadExchange
from siskinpass.process.fleet.store_client import INLINE_BYTES, StoreClient
from standins.fleet import ODD, BackendServer, ObjectStore
from standins.http_server import serve

STATUS_OK = 200
ODD_S = 0.3  # until instances have read a change
GOOD = {'service': 'app', 'address': '10.0.0.1:80', 'state': 'ready'}
MEMBER = {'name': 'front-9', 'peer_address': '10.0.0.1:7340'}
DEEP = b'[' * 100_000 + b']' * 100_000
ODD_VALUES = {
    'deep list': DEEP,
    'deep mapping': b'{"a":' * 2000 + b'1' + b'}' * 2000,
    'large exponent': b'1e999',
    'many digits': b'9' * 10_000,
    'many decimals': b'-' + b'9' * 5000 + b'.5e9',
    'endless exponent': b'1e99999999999999999999',
    'endless negative exponent': b'1e-99999999999999999999',
    '309 digits': b'9' * 309,
    'half a character': b'"\x5cud800"',
    'other half of a character': b'"recife \x5cudcff"',
    'halves in the wrong order': b'"\x5cudc00\x5cud800"',
    'half a character in a name': b'{"\x5cuDCFF":1}',
    'not a number': b'NaN',
    'not finite': b'[Infinity,-Infinity]',
    'unknown escape sequence': b'"\x5cx41 \x5cu12"',
    'control character': b'"a\x01b"',
}
ANYTHING = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**70), 2**70)
    | st.floats(allow_nan=False)
    | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=5,
)


class Unprintable:
    """Value that counts how often it is written out."""

    count = 0

    def __repr__(self):
        type(self).count += 1
        return 'x'


class TestServers:
    """Test which entries name a server."""

    @pytest.mark.parametrize(
        'field',
        [
            {'slots': 2**63},
            {'slots': 2**32},
            {'slots': -4},
            {'slots': int('9' * 309)},
            {'born': int('9' * 309)},
            {'born': -1},
            {'born': 2**64},
            {'address': '10.0.0.1:99999'},
            {'address': '10.0.0.1:0'},
            {'address': '10.0.0.1:\N{SUPERSCRIPT TWO}'},
            {'address': '10.0.0.1:' + '9' * 5000},
            {'address': 'a b:80'},
            {'address': ':80'},
        ],
        ids=lambda field: next(iter(field)),
    )
    def test_values_out_of_range_name_none(self, field):
        """Nothing later has to reckon with them."""
        with pytest.raises(FormatError):
            decode_server('i-1', GOOD | field)

    @pytest.mark.parametrize('name', ['a\r\nX-Tenant: w', '\N{SNOWMAN}'])
    def test_names_that_no_header_holds_name_none(self, name):
        """Requests to a server carry its name."""
        with pytest.raises(FormatError):
            decode_server(name, GOOD)

    @given(st.dictionaries(st.sampled_from([*GOOD, 'slots', 'born']), ANYTHING))
    def test_whatever_is_accepted_can_be_relayed(self, fields):
        """An entry is refused, or other instances can be told of it."""
        try:
            view = decode_server('i-1', GOOD | fields)
        except FormatError:
            return
        encode_server(view)

    @given(
        st.dictionaries(
            st.sampled_from([*MEMBER, 'incarnation', 'state', 'zone']), ANYTHING
        )
    )
    def test_instances_too(self, fields):
        """The same for the records of instances."""
        member = decode_member(MEMBER | fields)
        if member is not None:
            encode_member(member)
            assert int(member.peer_address.rsplit(':', 1)[1])


class TestPages:
    """Test listings and changes of which one entry cannot be represented.

    No instance became ready beside an entry with the escape sequence udcff.
    """

    @pytest.mark.parametrize('odd', ODD_VALUES.values(), ids=ODD_VALUES)
    def test_the_other_entries_are_read(self, odd):
        """Only the odd value is dropped."""
        first = b'{"metadata":{"name":"a","revision":1},"spec":%b}' % odd
        second = b'{"metadata":{"name":"b","revision":2},"spec":{"x":1.5}}'
        page = decode_list(
            b'{"items":[%b,%b],"has-more":false,"current-rev":9}'
            % (first, second)
        )
        assert [one.name for one in page.stored] == ['a', 'b']
        assert page.stored[1].body == {'x': 1.5}
        assert page.revision == 9
        changes = decode_watch(
            b'{"events":[{"object":%b},{"object":%b}],"current-rev":9}'
            % (first, second)
        )
        assert changes.stored[1].body == {'x': 1.5}

    @given(
        ANYTHING
        | st.floats()
        | st.text(st.characters())
        | st.dictionaries(st.text(st.characters()), st.floats())
    )
    def test_whatever_python_writes_hides_no_entry(self, odd):
        """Its texts may have halves of characters, its numbers be infinite."""
        page = decode_list(
            b'{"items":[{"metadata":{"name":"a"},"spec":%b},'
            b'{"metadata":{"name":"b"},"spec":{"x":1.5}}],"current-rev":9}'
            % json.dumps(odd).encode()
        )
        assert [one.name for one in page.stored] == ['a', 'b']
        assert page.stored[1].body == {'x': 1.5}

    @pytest.mark.parametrize(
        ('escaped', 'text'),
        [
            (r'\ud83d\ude00', '\N{GRINNING FACE}'),
            (r'\\udcff', r'\udcff'),
            (r'\u0151\"\n', '\u0151"\n'),
            (r'\ud83dx\ude00', '\ufffdx\ufffd'),
            (r'\udcff\\', '\ufffd\\'),
        ],
    )
    def test_only_halves_of_characters_are_replaced(self, escaped, text):
        """Escape sequences that stand for characters are kept."""
        page = decode_list(
            b'{"items":[{"metadata":{"name":"%b"},"spec":1e999}],'
            b'"current-rev":9}' % escaped.encode()
        )
        assert page.stored[0].name == text

    @pytest.mark.parametrize(
        'text',
        [
            '1e99999999999999999999',
            '9' * 400,
            '"' + '9' * 400,
            r'C:\1e99999',
            'x' * 9,
        ],
    )
    def test_texts_stay_as_they_are(self, text):
        """Digits within a text are no number."""
        page = decode_list(
            b'{"items":[{"metadata":{"name":%b},"spec":1e999}],'
            b'"current-rev":9}' % orjson.dumps(text)
        )
        assert page.stored[0].name == text

    @pytest.mark.parametrize(
        ('item', 'odd', 'count'),
        [
            (b'7', b'1e999', 25_000),
            (b'1.5', b'NaN', 12_000),
            (b'"x"', b'"\x5cudcff"', 12_000),
            (b'[]', b'1e-999', 16_000),
        ],
    )
    def test_only_odd_values_are_looked_at(self, item, odd, count, monkeypatch):
        """Guards against an event loop that stands still for each page.

        The parser of whole documents is much faster than any code here.
        """
        looks = []
        represent = salvage._representable
        monkeypatch.setattr(
            salvage,
            '_representable',
            lambda found: looks.append(1) or represent(found),
        )
        monkeypatch.setattr(salvage, '_parse_nested', None)
        samples = b'[%b]' % b','.join([odd, *[item] * count])
        items = [
            b'{"metadata":{"name":"%d"},"spec":%b}' % (number, samples)
            for number in range(40)
        ]
        page = decode_list(b'{"items":[%b],"current-rev":9}' % b','.join(items))
        assert len(page.stored[-1].body) == count + 1
        # What follows the last of them and the end are two more.
        assert len(looks) <= len(items) + 2

    @pytest.mark.parametrize('call', ['list', 'watch', 'get'])
    def test_large_answers_are_decoded_beside_the_event_loop(
        self, call, monkeypatch
    ):
        """An instance answers its callers meanwhile."""
        threads = []
        parse = fields.orjson.loads
        monkeypatch.setattr(
            fields,
            'orjson',
            SimpleNamespace(
                JSONDecodeError=orjson.JSONDecodeError,
                loads=lambda body: (
                    threads.append(current_thread()) or parse(body)
                ),
            ),
        )

        async def scenario():
            store = ObjectStore()
            port = free_ports(1)[0]
            async with await serve(store, '127.0.0.1', port):
                await store.put('kind', 'large', ['x' * INLINE_BYTES])
                client = StoreClient(
                    f'127.0.0.1:{port}', lambda call, outcome: None
                )
                if call == 'list':
                    await client.list_kind('kind')
                elif call == 'watch':
                    await client.watch_kind('kind', 0, 1)
                else:
                    await client.read_object('kind', 'large', stale=False)
                await client.read_object('kind', 'large', stale=False)

        asyncio.run(asyncio.wait_for(scenario(), 30))
        assert len(threads) == 2
        assert main_thread() not in threads

    def test_long_values_are_named_in_short(self):
        """A message about a value costs as little as its text."""
        with pytest.raises(FormatError) as caught:
            decode_server('i-1', GOOD | {'state': [Unprintable()] * 100_000})
        assert len(str(caught.value)) < 200
        assert Unprintable.count < 100

    def test_what_is_not_json_is_refused(self):
        """A page that breaks off is not taken for a shorter one."""
        with pytest.raises(FormatError):
            decode_list(b'{"items":[],"current-rev":9')


class TestAnnouncements:
    """Test messages of other instances."""

    @pytest.mark.parametrize(
        'message',
        [DEEP, b'1', b'[1,2]', b'[1,2,3]', b'{"server":1}', b'[[],{},[[]]]'],
    )
    def test_unreadable_ones_are_dropped(self, message):
        """The instance goes on."""

        async def scenario():
            exchange = LoadExchange(
                'front-1', dict, list, lambda loads: None, lambda placed: None
            )
            exchange.subscribe('topic', lambda rows: rows[0].missing)
            exchange.datagram_received(message, ('127.0.0.1', 1))
            exchange.datagram_received(b'{"topic":[1]}', ('127.0.0.1', 1))
            exchange.datagram_received(b'{"topic":[]}', ('127.0.0.1', 1))

        asyncio.run(scenario())


class TestFleet:
    """Test a fleet whose registry has one odd entry."""

    @pytest.mark.parametrize('small_fleet', [12, 1], ids=['read', 'follow'])
    @pytest.mark.parametrize('odd', ODD_VALUES.values(), ids=ODD_VALUES)
    def test_instances_go_on_and_learn_of_new_servers(self, odd, small_fleet):
        """Both in changes and after a restart, from the whole list."""

        async def scenario():
            async with running_fleet(3, 1, small_fleet=small_fleet) as fleet:
                fleet.store.odd = odd
                await fleet.store.put(
                    'servers', 'odd', server_entry(1) | {'slots': ODD}
                )
                await fleet.store.put('servers', 'odder', ODD)
                server = BackendServer('i-new')
                port = free_ports(1)[0]
                listener = await serve(server, '127.0.0.1', port)
                await fleet.store.put('servers', 'i-new', server_entry(port))
                await fleet.store.remove('servers', 'i-0')
                await serve_all(fleet, 'change')
                await fleet.restart_all()
                await serve_all(fleet, 'restart')
                listener.close()

        asyncio.run(asyncio.wait_for(scenario(), 90))

    @pytest.mark.parametrize(
        'kind',
        [PARTS_KIND, STREAMS_KIND, INSTANCES_KIND, CONFIG_KIND],
    )
    def test_odd_records_of_other_kinds_hide_no_configuration(self, kind):
        """Beside a record, within one, and after a restart."""

        async def scenario():
            async with running_fleet(3, 1) as fleet:
                for number, odd in enumerate(ODD_VALUES.values()):
                    fleet.store.odd = odd
                    await fleet.store.put(kind, 'odd', ODD)
                    await fleet.store.put(
                        kind, 'main', config(5 + number) | {'routes': ODD}
                    )
                    await asyncio.sleep(ODD_S)
                await fleet.store.put(
                    'config', 'main', config(99, [route('/new/', 'safe')])
                )
                await take_up_all(fleet, 'change')
                await fleet.restart_all()
                await take_up_all(fleet, 'restart')

        asyncio.run(asyncio.wait_for(scenario(), 90))


async def take_up_all(fleet, label):
    """Wait until each instance serves the route of the new configuration."""
    for name, process in fleet.processes.items():

        async def is_served(name=name):
            answer = await fleet.ask('/new/x', name=name, call=label)
            return answer.status == STATUS_OK

        await wait_until(is_served, f'{name} to take the configuration up')
        assert process.returncode is None


async def serve_all(fleet, label):
    """Wait until each instance uses the new server."""
    for name, process in fleet.processes.items():

        async def is_served(name=name):
            answer = await fleet.ask('/safe/x', name=name, call=label)
            return b'i-new' in answer.body

        await wait_until(is_served, f'{name} to use the new server')
        assert process.returncode is None
