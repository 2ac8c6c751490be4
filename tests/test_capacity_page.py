"""Tests that the capacity page matches the measured figures."""

import orjson

from bench.capacity_page import FIGURES, PAGE, render


class TestCapacityPage:
    """Tests of the committed page against the committed figures."""

    def test_page_is_made_from_the_figures(self):
        """The page was rendered from the committed figures and not edited."""
        assert PAGE.read_text() == render(orjson.loads(FIGURES.read_bytes()))
