"""Test that the capacity page says what was measured."""

import orjson

from bench.capacity_page import FIGURES, PAGE, render


class TestCapacityPage:
    """Test page against figures."""

    def test_page_is_made_from_the_figures(self):
        """No figure on the page differs from the committed ones."""
        assert PAGE.read_text() == render(orjson.loads(FIGURES.read_bytes()))
