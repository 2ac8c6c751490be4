"""Test which route and workspace a request belongs to."""

import pytest

from siskinpass.version.routes import (
    Repeat,
    Route,
    RouteTable,
    Share,
    Workspace,
    tier_of,
)

SHARES = (Share('a', 90), Share('b', 10))


def route(prefix, host='h.example', **more):
    """Return a route."""
    return Route(prefix, host, prefix, Repeat.once, SHARES, 1.0, 0.1, **more)


TABLE = RouteTable(
    version=3,
    routes=(route('/'), route('/long/'), route('/long/er/')),
    services={},
    workspaces=(
        Workspace('plain', frozenset(('key-1',))),
        Workspace('first', frozenset(('key-2',)), tier=0),
    ),
)


class TestRouteTable:
    """Test the look-ups."""

    @pytest.mark.parametrize(
        ('host', 'path', 'expected'),
        [
            ('h.example', '/', '/'),
            ('H.Example', '/long/x', '/long/'),
            ('h.example', '/long/er/x', '/long/er/'),
            ('h.example', '/longer/x', '/'),
            ('other.example', '/', None),
        ],
    )
    def test_longest_prefix_wins(self, host, path, expected):
        """The host and the longest prefix select the route."""
        found = TABLE.find(host, path)
        assert (found and found.prefix) == expected

    @pytest.mark.parametrize(
        ('key', 'expected'),
        [('key-1', 2), ('key-2', 0), ('key-3', 2)],
    )
    def test_workspace_overrides_tier(self, key, expected):
        """A workspace's own tier goes before that of the route."""
        workspace = TABLE.workspace_of(key)
        assert tier_of(route('/', tier=2), workspace) == expected

    @pytest.mark.parametrize(
        ('draw', 'expected'),
        [(0.0, 'a'), (0.89, 'a'), (0.91, 'b'), (0.9999, 'b')],
    )
    def test_weights_split_requests(self, draw, expected):
        """A draw falls on a service by its weight."""
        assert route('/').service_at(draw) == expected

    def test_table_without_workspaces_needs_no_keys(self):
        """Keys are asked for only where some are stated."""
        assert not RouteTable(1, (), {}).needs_keys
        assert TABLE.needs_keys
