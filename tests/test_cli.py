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
    """Run the command line and return the finished process."""
    return subprocess.run(
        [sys.executable, '-m', 'siskinpass', *args],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
        env={'PATH': '', **environment},
    )


def tree(cluster, *args):
    """Run a ``tree`` command against a running deployment."""
    return siskinpass(
        'tree',
        *args,
        '--instance',
        cluster.operators,
        SISKINPASS_OPERATOR_KEY=OPERATOR_KEY,
    )


class TestSettings:
    """Test that invalid settings are reported in one line."""

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
        """The process reports the invalid setting and exits with 2."""
        flags = [
            part
            for flag, given in {**SERVE, name: text}.items()
            for part in (f'--{flag}', given)
        ]
        process = siskinpass('serve', *flags)
        assert process.returncode == 2
        assert process.stderr.startswith('siskinpass: 6001 ')
        assert wanted in process.stderr
        assert process.stderr.count('\n') == 1

    def test_settings_from_the_environment(self):
        """Each flag can be set by an environment variable."""
        environment = {
            f'SISKINPASS_{name.upper().replace("-", "_")}': text
            for name, text in {**SERVE, 'zone': 'x', 'threads': '0'}.items()
        }
        process = siskinpass('serve', **environment)
        assert 'threads is less than 1' in process.stderr

    def test_address_in_use(self, cluster):
        """An address that is in use is reported with code 6001."""
        settings = {**SERVE, 'peers': cluster.entries[0].peers}
        flags = [
            part
            for flag, given in settings.items()
            for part in (f'--{flag}', given)
        ]
        process = siskinpass('serve', *flags)
        assert process.returncode == 2
        assert 'siskinpass: 6001 ' in process.stderr


class TestTree:
    """Test the commands that read and edit the settings tree."""

    def test_set_history_diff_rollback(self, cluster):
        """An edit can be read back, compared and rolled back."""
        path = 'workspaces/colina/classes/summary/max_wait_ms'
        before = tree(cluster, 'get', path).stdout.strip()
        first = int(tree(cluster, 'set', path, '44000').stdout.split()[-1])
        assert tree(cluster, 'get', path).stdout.strip() == '44000'
        output = tree(cluster, 'diff', str(first - 1), str(first)).stdout
        assert path in output
        assert f'number: {first}' in tree(cluster, 'history').stdout
        back = tree(cluster, 'rollback', str(first - 1)).stdout
        assert int(back.split()[-1]) == first + 1
        assert tree(cluster, 'get', path).stdout.strip() == before

    def test_edit_through_a_file(self, cluster, tmp_path):
        """The first call writes the file, the second one applies it."""
        draft = Path(tmp_path / 'tree.yaml')
        assert tree(cluster, 'edit', str(draft)).returncode == 0
        text = draft.read_text()
        draft.write_text(
            text.replace('deployment: fieltro', 'deployment: other'),
        )
        assert tree(cluster, 'edit', str(draft)).returncode == 0
        output = tree(cluster, 'get', 'deployment').stdout
        assert output.startswith('other')

    @pytest.mark.parametrize(
        ('args', 'code'),
        [
            (('get', 'settings/none'), '5006'),
            (('get', '--version', '999'), '5007'),
            (('set', 'settings/tier', '99'), '5001'),
            (('set', 'settings/tear', '1'), '5001'),
        ],
    )
    def test_error_is_reported_with_code(self, cluster, args, code):
        """A rejected command is reported with its code."""
        process = tree(cluster, *args)
        assert process.returncode == 2
        assert process.stderr.startswith(f'siskinpass: {code} ')

    def test_status_is_a_table(self, cluster):
        """The status lists the version in force and the instances."""
        process = siskinpass(
            'status',
            '--instance',
            cluster.operators,
            SISKINPASS_OPERATOR_KEY=OPERATOR_KEY,
        )
        assert process.stdout.startswith('version ')
        assert 'entry-3' in process.stdout

    def test_key(self):
        """A new key is printed with its entry for the tree."""
        output = siskinpass('key', '--default-class', 'counter').stdout
        assert 'key: ' in output
        assert 'digest: ' in output
