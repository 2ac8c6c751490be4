"""Test what an instance makes of connections to servers that fail."""

import pytest

from siskinpass.process.path_health import SILENT_S, PathHealth


def apply(*steps):
    """Return what is known after some steps.

    :param steps: name of a method, server and time of each.
    """
    health = PathHealth()
    for name, *given in steps:
        getattr(health, name)(*given)
    return health


class TestPaths:
    """Test which paths are held for broken."""

    @pytest.mark.parametrize(
        ('steps', 'is_cut_off', 'may_connect', 'may_reuse'),
        [
            ((), False, True, True),
            ((('note_failed', 'b', 1),), True, False, False),
            ((('note_failed', 'a', 1),), True, False, False),
            # Another server answers: only the one that failed is avoided.
            (
                (('note_failed', 'b', 1), ('note_data', 'c', 2)),
                False,
                True,
                True,
            ),
            (
                (('note_failed', 'a', 1), ('note_data', 'c', 2)),
                False,
                False,
                False,
            ),
            # Its open connections live on, new ones fail.
            (
                (('note_failed', 'a', 1), ('note_data', 'a', 2)),
                False,
                False,
                True,
            ),
            # An answer from before the failed attempt began proves nothing.
            (
                (('note_data', 'a', 1), ('note_failed', 'b', 2)),
                True,
                False,
                False,
            ),
            # One that arrived while the attempt waited in vain does.
            (
                (('note_data', 'c', 1.5), ('note_failed', 'b', 1)),
                False,
                True,
                True,
            ),
            (
                (('note_failed', 'a', 1), ('note_connected', 'a', 2)),
                False,
                True,
                True,
            ),
            # A connection that was accepted counts, until one was closed.
            (
                (('note_failed', 'b', 1), ('note_accepted', 2)),
                False,
                True,
                True,
            ),
            (
                (
                    ('note_closed',),
                    ('note_failed', 'b', 1),
                    ('note_accepted', 2),
                ),
                True,
                False,
                False,
            ),
            (
                (
                    ('note_closed',),
                    ('note_failed', 'b', 1),
                    ('note_data', 'c', 2),
                    ('note_failed', 'd', 3),
                    ('note_accepted', 4),
                ),
                False,
                True,
                True,
            ),
            # One that failed before fails again, which says nothing new.
            (
                (
                    ('note_failed', 'b', 1),
                    ('note_data', 'c', 2),
                    ('note_failed', 'b', 3),
                ),
                False,
                True,
                True,
            ),
            (
                (('note_failed', 'a', 1), ('keep_only', ('b',))),
                False,
                True,
                True,
            ),
        ],
    )
    def test_evidence(self, steps, is_cut_off, may_connect, may_reuse):
        """A failure counts until something contradicts it."""
        health = apply(*steps)
        assert health.is_cut_off is is_cut_off
        assert health.may_connect('a') is may_connect
        reusable = may_connect or health.may_reuse('a')
        assert reusable is may_reuse


class TestSilence:
    """Test which servers are probed while requests wait."""

    @pytest.mark.parametrize(
        ('steps', 'now_s', 'expected'),
        [
            ((), 9, ()),
            ((('note_sent', 'a', 1),), 1 + SILENT_S / 2, ()),
            ((('note_sent', 'a', 1),), 1.1 + SILENT_S, ('a',)),
            ((('note_sent', 'a', 1), ('note_ended', 'a')), 9, ()),
            ((('note_sent', 'a', 1), ('note_data', 'a', 8.9)), 9, ()),
            (
                (
                    ('note_sent', 'a', 1),
                    ('note_sent', 'a', 2),
                    ('note_ended', 'a'),
                ),
                9,
                ('a',),
            ),
            # An old answer does not make a server silent at once.
            ((('note_data', 'a', 1), ('note_sent', 'a', 8.9)), 9, ()),
        ],
    )
    def test_silent_servers(self, steps, now_s, expected):
        """Those that owe an answer and have sent nothing for a while."""
        assert apply(*steps).silent(now_s) == expected
