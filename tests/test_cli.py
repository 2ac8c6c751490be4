"""Test the command line."""

import subprocess
import sys
from pathlib import Path

import pytest

from bench.cluster import OPERATOR_KEY

SERVE = {
    'name': 'entry-1',
    'zone': 'a',
    'callers': '127.0.0.1:1',
    'operators': '127.0.0.1:2',
    'peers': '127.0.0.1:3',
    'platform': '127.0.0.1:4',
    'operator-key': 'long-enough',
    'peer-key': 'long-enough',
}


def siskinpass(*args, **environment):
    """Run the command line and return how it ended."""
    return subprocess.run(
        [sys.executable, '-m', 'siskinpass', *args],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
        env={'PATH': '', **environment},
    )


def tree(cluster, *args):
    """Run a command of the settings tree against a deployment."""
    return siskinpass(
        'tree',
        *args,
        '--instance',
        cluster.operators,
        SISKINPASS_OPERATOR_KEY=OPERATOR_KEY,
    )


class TestSettings:
    """Test that wrong settings end in one clear line."""

    @pytest.mark.parametrize(
        ('name', 'text', 'wanted'),
        [
            ('callers', 'localhost:80', 'callers is not an IP address'),
            ('peers', '127.0.0.1', 'peers is not ip:port'),
            ('platform', '127.0.0.1:99999', 'platform is not ip:port'),
            ('peer-key', 'short', 'peer_key is shorter'),
            ('name', 'a/b', 'name is not made of'),
            ('decisions', 'best', 'decisions is not one of'),
            ('threads', '0', 'threads is less than 1'),
            ('certificate', '/none', 'certificate cannot be loaded'),
        ],
    )
    def test_wrong_setting(self, name, text, wanted):
        """The process says what is wrong and exits with 2."""
        flags = [
            part
            for flag, given in {**SERVE, name: text}.items()
            for part in (f'--{flag}', given)
        ]
        ended = siskinpass('serve', *flags)
        assert ended.returncode == 2
        assert ended.stderr.startswith('siskinpass: 6001 ')
        assert wanted in ended.stderr
        assert ended.stderr.count('\n') == 1

    def test_settings_from_the_environment(self):
        """Each flag has an environment variable."""
        environment = {
            f'SISKINPASS_{name.upper().replace("-", "_")}': text
            for name, text in {**SERVE, 'zone': 'x', 'threads': '0'}.items()
        }
        ended = siskinpass('serve', **environment)
        assert 'threads is less than 1' in ended.stderr

    def test_address_in_use(self, cluster):
        """An address that is taken is told in one line."""
        taken = {**SERVE, 'peers': cluster.entries[0].peers}
        flags = [
            part
            for flag, given in taken.items()
            for part in (f'--{flag}', given)
        ]
        ended = siskinpass('serve', *flags)
        assert ended.returncode == 2
        assert 'siskinpass: 6001 ' in ended.stderr


class TestTree:
    """Test editing the tree as an operator does."""

    def test_set_history_diff_rollback(self, cluster):
        """An edit is read back, compared and taken back as a new version."""
        path = 'workspaces/colina/classes/summary/max_wait_ms'
        before = tree(cluster, 'get', path).stdout.strip()
        first = int(tree(cluster, 'set', path, '44000').stdout.split()[-1])
        assert tree(cluster, 'get', path).stdout.strip() == '44000'
        told = tree(cluster, 'diff', str(first - 1), str(first)).stdout
        assert path in told
        assert f'number: {first}' in tree(cluster, 'history').stdout
        back = tree(cluster, 'rollback', str(first - 1)).stdout
        assert int(back.split()[-1]) == first + 1
        assert tree(cluster, 'get', path).stdout.strip() == before

    def test_edit_through_a_file(self, cluster, tmp_path):
        """A file is written first and applied the second time."""
        draft = Path(tmp_path / 'tree.yaml')
        assert tree(cluster, 'edit', str(draft)).returncode == 0
        text = draft.read_text()
        draft.write_text(
            text.replace('deployment: fieltro', 'deployment: other'),
        )
        assert tree(cluster, 'edit', str(draft)).returncode == 0
        told = tree(cluster, 'get', 'deployment').stdout
        assert told.startswith('other')

    @pytest.mark.parametrize(
        ('args', 'code'),
        [
            (('get', 'settings/none'), '5006'),
            (('get', '--version', '999'), '5007'),
            (('set', 'settings/tier', '99'), '5001'),
            (('set', 'settings/tear', '1'), '5001'),
        ],
    )
    def test_wrong_command_tells_its_code(self, cluster, args, code):
        """A refused edit is told in one line with its code."""
        ended = tree(cluster, *args)
        assert ended.returncode == 2
        assert ended.stderr.startswith(f'siskinpass: {code} ')

    def test_status_is_a_table(self, cluster):
        """Operators see versions and promises at a glance."""
        ended = siskinpass(
            'status',
            '--instance',
            cluster.operators,
            SISKINPASS_OPERATOR_KEY=OPERATOR_KEY,
        )
        assert ended.stdout.startswith('version ')
        assert 'entry-3' in ended.stdout

    def test_key(self):
        """A new key comes with the entry that the tree holds."""
        told = siskinpass('key', '--default-class', 'counter').stdout
        assert 'key: ' in told
        assert 'digest: ' in told
