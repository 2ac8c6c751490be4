"""Test that the capacity page matches the measured figures."""

import orjson

from bench.capacity_page import FIGURES, PAGE, render


class TestCapacityPage:
    """Test the committed page against the committed figures."""

    def test_page_is_made_from_the_figures(self):
        """The page is what its template gives for the measured figures."""
        assert PAGE.read_text() == render(orjson.loads(FIGURES.read_bytes()))
