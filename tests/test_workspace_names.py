"""Test workspaces whose names and keys have letters beyond ASCII."""

import asyncio

import pytest

from bench.fleet import KEY, config, wait_until
from siskinpass.request.call import parse_call
from siskinpass.request.head import RequestHead
from siskinpass.version.document import parse_tree
from siskinpass.version.keys import KeyTable, make_key
from siskinpass.version.repository import TreeVersion
from tests.relayed_fleet import own_or_relayed_fleet

NAMES = {
    'beyond Latin-1': ('Győri Napközösség', 'Győri Napközösség'),
    'Latin-1': ('Kávéház', 'Kávéház'),
    'beyond the basic plane': ('🐦', '🐦'),
    'lines': ('Győr\r\nX-Hold: 1', 'Győr  X-Hold: 1'),
    'control characters': ('a\0b\x7fc', 'a b c'),
}
TREE = """\
deployment: x
pools:
  lm: {models: [m1]}
workspaces:
  %s:
    keys: [{salt: %s, digest: %s}]
    classes:
      %s: {pool: lm}
"""


class TestNames:
    """Test what callers and servers get of such workspaces."""

    @pytest.mark.parametrize('is_relayed', [False, True], ids=['own', 'relay'])
    @pytest.mark.parametrize(('name', 'sent'), NAMES.values(), ids=NAMES)
    @pytest.mark.parametrize('key', [KEY, 'kulcs-ő'], ids=['key', 'letter'])
    def test_requests_are_served_and_name_the_workspace(
        self, key, name, sent, is_relayed
    ):
        """Guards against closed connections instead of answers."""

        async def scenario():
            async with own_or_relayed_fleet(is_relayed=is_relayed) as fleet:
                workspaces = [{'name': name, 'api-keys': [key]}]
                await fleet.store.put(
                    'config', 'main', config(9) | {'tenants': workspaces}
                )
                await wait_until(
                    lambda: is_named(fleet, key), 'the configuration'
                )
                for path in ('/once/x', '/safe/x', '/stream/stream'):
                    answer = await fleet.ask(path, key=key)
                    assert (answer.status, answer.is_whole) == (200, True)
                    headers = fleet.runs[-1].headers
                    assert headers['x-tenant'] == sent
                    assert 'x-hold' not in headers

        asyncio.run(asyncio.wait_for(scenario(), 60))

    @pytest.mark.parametrize('name', ['Győr', 'Kávéház', 'norte'])
    def test_daemon_finds_workspace_and_class_by_their_names(self, name):
        """Callers send names in UTF-8, and heads are decoded as Latin-1."""
        key, entry = make_key()
        tree = parse_tree(TREE % (name, entry.salt, entry.digest, name))
        spelled = name.encode().decode('latin-1')
        head = RequestHead(
            'POST',
            '/v1/completions',
            {
                'authorization': f'Bearer {key}',
                'x-siskinpass-workspace': spelled,
                'x-siskinpass-class': spelled,
            },
            0,
            keep_alive=True,
        )
        body = b'{"model":"m1","prompt":"x","max_tokens":1}'
        call = parse_call(head, body, TreeVersion(1, tree, KeyTable(tree), ''))
        assert call.node == f'{name}/{name}'


async def is_named(fleet, key):
    """Return whether a request is not taken for one with an unknown key."""
    answer = await fleet.ask('/safe/x', key=key)
    names = [run.headers['x-tenant'] for run in fleet.runs]
    return answer.status != 401 and names[-1:] != ['w']
