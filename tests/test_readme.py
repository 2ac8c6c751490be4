"""Test that the examples in the docs run."""

import doctest
from pathlib import Path

ROOT = Path(__file__).parent.parent


class TestReadme:
    """Test the README."""

    def test_examples_run(self):
        """What the README shows is what happens."""
        outcome = doctest.testfile(
            str(ROOT / 'README.md'),
            module_relative=False,
        )
        assert outcome.attempted >= 6
        assert outcome.failed == 0
