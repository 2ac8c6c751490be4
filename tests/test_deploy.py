"""Test what the deploy file names."""

import subprocess
import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent


class TestProduction:
    """Test the build that runs as an upgrade begins."""

    def test_names_a_commit_of_the_history(self):
        """It is built from the repository, so that it must be an ancestor."""
        text = (ROOT / 'deploy' / 'system.toml').read_text()
        commit = tomllib.loads(text)['production']
        found = subprocess.run(
            ['git', 'merge-base', '--is-ancestor', commit, 'HEAD'],
            cwd=ROOT,
            check=False,
        )
        assert found.returncode == 0, (
            f'deploy/system.toml: production = {commit} is no commit that '
            'HEAD descends from'
        )
