"""Test that the examples in the README run."""

import doctest
from pathlib import Path

ROOT = Path(__file__).parent.parent


class TestReadme:
    """Test the README as a doctest."""

    def test_examples_run(self):
        """All examples print what the README shows; there are at least six."""
        outcome = doctest.testfile(
            str(ROOT / 'README.md'),
            module_relative=False,
        )
        assert outcome.attempted >= 6
        assert outcome.failed == 0
