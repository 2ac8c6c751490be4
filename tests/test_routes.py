"""Test the selection of routes, workspaces, tiers and services."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from siskinpass.version.routes import (
    RepeatPolicy,
    Route,
    RouteTable,
    Share,
    Workspace,
)

SHARES = (Share('a', 90), Share('b', 10))


def route(prefix, host='h.example', **more):
    """Return a route that is named after its prefix."""
    return Route(
        prefix, host, prefix, RepeatPolicy.once, SHARES, 1.0, 0.1, **more
    )


TABLE = RouteTable(
    version=3,
    routes=(route('/'), route('/long/'), route('/long/er/')),
    services={},
    workspaces=(
        Workspace('plain', frozenset(('key-1',))),
        Workspace('first', frozenset(('key-2',)), tier=0),
    ),
)

RANKED = RouteTable(
    version=4,
    routes=(route('/', tier=0), route('/long/', tier=2)),
    services={},
    workspaces=(
        *TABLE.workspaces,
        Workspace('second', frozenset(('key-4',)), tier=1),
    ),
)


class TestRouteTable:
    """Test the look-ups in a routing table."""

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
        """The host and the longest matching prefix select the route."""
        found = TABLE.find(host, path)
        assert (found and found.prefix) == expected

    @pytest.mark.parametrize(
        ('key', 'path', 'expected'),
        [
            ('key-2', '/', 0),
            ('key-2', '/long/', 1),
            ('key-4', '/', 2),
            ('key-4', '/long/', 3),
            ('key-1', '/', 2),
            ('key-3', '/long/', 3),
        ],
    )
    def test_workspace_tier_takes_precedence(self, key, path, expected):
        """Workspace tiers rank first, class tiers second."""
        found = RANKED.tier_of(
            RANKED.find('h.example', path),
            RANKED.workspace_of(key),
        )
        assert found == expected

    def test_tiers_without_workspaces_are_those_of_the_classes(self):
        """Without workspaces the tiers follow the order of the classes."""
        table = RouteTable(1, RANKED.routes, {})
        tiers = [table.tier_of(one, None) for one in table.routes]
        assert tiers == [0, 1]

    @pytest.mark.parametrize(
        ('pauses', 'tight'),
        [
            ((0.2, 0.3, 0.8, 0.0), [True, False, False, False]),
            ((0.2, 0.2, 0.3), [True, True, False]),
            ((0.3, 0.3, 0.0), [False, False, False]),
            ((0.0,), [False]),
        ],
    )
    def test_shortest_pause_is_tight(self, pauses, tight):
        """The streams with the shortest pause are tight, unless all have it.

        A pause of 0 stands for no target.
        """
        routes = tuple(
            route(f'/{number}/', pause_s=pause_s)
            for number, pause_s in enumerate(pauses)
        )
        table = RouteTable(1, routes, {})
        assert [table.is_tight(one) for one in routes] == tight

    @pytest.mark.parametrize(
        ('draw', 'expected'),
        [(0.0, 'a'), (0.89, 'a'), (0.91, 'b'), (0.9999, 'b')],
    )
    def test_weights_split_requests(self, draw, expected):
        """The random number selects a service by the weights."""
        assert route('/').pick_service(draw) == expected

    def test_table_without_workspaces_needs_no_keys(self):
        """Keys are required only if the document lists workspaces."""
        assert not RouteTable(1, (), {}).needs_keys
        assert TABLE.needs_keys

    @given(
        st.lists(st.none() | st.integers(0, 3), min_size=1, max_size=4),
        st.lists(st.integers(0, 4), min_size=1, max_size=4),
    )
    def test_order_is_by_workspace_then_class(self, ranked, classes):
        """Tiers are in the order of the pairs of workspace and class tiers."""
        workspaces = [
            Workspace(str(number), frozenset(), tier)
            for number, tier in enumerate(ranked)
        ]
        routes = [
            route(f'/{number}/', tier=tier)
            for number, tier in enumerate(classes)
        ]
        table = RouteTable(1, tuple(routes), {}, workspaces=tuple(workspaces))
        lowest_tier = max(
            (tier for tier in ranked if tier is not None), default=0
        )
        pairs = {
            (lowest_tier if one.tier is None else one.tier, other.tier): (
                table.tier_of(other, one)
            )
            for one in workspaces
            for other in routes
        }
        tiers = [pairs[pair] for pair in sorted(pairs)]
        assert tiers == sorted(set(tiers))
