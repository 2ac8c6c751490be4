"""Test TLS with callers, with operators and between instances."""

import datetime
import ipaddress

import pytest
import urllib3
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from bench.cluster import HOST, OPERATOR_KEY, deployment, running
from tests.processes import counter, send_jobs, target, wait_until

DAY = datetime.timedelta(days=1)


def make_certificate(folder):
    """Write a self-signed certificate for the loopback address and its key."""
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, 'test')])
    now = datetime.datetime.now(datetime.UTC)
    address = x509.IPAddress(ipaddress.ip_address(HOST))
    certificate = (
        x509
        .CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(1)
        .not_valid_before(now - DAY)
        .not_valid_after(now + DAY)
        .add_extension(x509.SubjectAlternativeName([address]), critical=False)
        .add_extension(x509.BasicConstraints(True, None), critical=True)
        .sign(key, hashes.SHA256())
    )
    (folder / 'cert.pem').write_bytes(
        certificate.public_bytes(serialization.Encoding.PEM),
    )
    (folder / 'key.pem').write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        ),
    )
    return str(folder / 'cert.pem'), str(folder / 'key.pem')


@pytest.fixture
def peers_with_tls(tmp_path):
    """Run three entries that use mutual TLS among each other."""
    cert, key = make_certificate(tmp_path)
    flags = (
        '--peer-certificate',
        cert,
        '--peer-private-key',
        key,
        '--peer-authority',
        cert,
    )
    with running(deployment('fieltro-lanera', 3, flags=flags)) as started:
        yield started


class TestTls:
    """Test each kind of encrypted connection."""

    def test_between_instances(self, peers_with_tls):
        """Entries reach a single broker over mutual TLS."""
        jobs = [counter(at_s=number / 20) for number in range(12)]
        answers = send_jobs(jobs, target(peers_with_tls))
        assert all(answer.complete for answer in answers)
        brokers = [
            entry.name
            for entry in peers_with_tls.entries
            if 'lm' in peers_with_tls.status(entry)['brokers']
        ]
        assert len(brokers) == 1

    def test_towards_callers_and_operators(self, tmp_path):
        """With a certificate, callers and operators can only use TLS."""
        cert, key = make_certificate(tmp_path)
        plan = deployment('fieltro-lanera', 1)
        with running(plan) as plain:
            entry = plain.entries[0]
            plain.kill(entry.process)
            plain.plan = deployment(
                'fieltro-lanera',
                1,
                flags=('--certificate', cert, '--private-key', key),
            )
            plain.start_entry(entry)
            http = urllib3.PoolManager(ca_certs=cert, retries=False)
            wait_until(
                lambda: _status(http, f'https://{entry.callers}/readyz') == 200,
                'the instance to be ready',
            )
            tree_answer = http.request(
                'GET',
                f'https://{entry.operators}/tree',
                headers={'X-Siskinpass-Operator-Key': OPERATOR_KEY},
            )
            assert tree_answer.json()['version'] == 1
            answer = http.request(
                'POST',
                f'https://{entry.callers}/v1/completions',
                headers={
                    'Authorization': f'Bearer {plain.keys["centro"]}',
                    'X-Siskinpass-Class': 'counter',
                },
                body=(
                    b'{"model": "fieltro-chat", "prompt": "x",'
                    b' "metadata": {"tokens": 3, "seed": "t"}}'
                ),
            )
            assert answer.json()['choices'][0]['text'] == 't-0 t-1 t-2 '
            assert _status(http, f'http://{entry.callers}/readyz') == 0


def _status(http, url):
    try:
        return http.request('GET', url, timeout=5).status
    except urllib3.exceptions.HTTPError:
        return 0
