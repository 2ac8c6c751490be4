"""Client of the operator interface of an instance."""

import os
from dataclasses import dataclass
from typing import Any

import urllib3
from urllib3.exceptions import HTTPError

from siskinpass.codes import Code
from siskinpass.exceptions import SiskinpassError, StoreError

TIMEOUT_S = 20.0
STATUS_OK = 200
OPERATOR_HEADER = 'X-Siskinpass-Operator-Key'


@dataclass(frozen=True, slots=True)
class Operator:
    """Address and credentials of an instance's operator interface.

    :param instance: address of the operator interface; ``http`` is used
        unless the address starts with ``https://``.
    :param operator_key: key of the operator interface; if empty,
        ``SISKINPASS_OPERATOR_KEY`` is used.
    :param authority: file with the CA certificate to trust for ``https``.
    """

    instance: str = '127.0.0.1:8081'
    operator_key: str = ''
    authority: str = ''

    def call(self, method: str, path: str, body: bytes = b'') -> Any:
        """Call the operator interface and return the decoded JSON body.

        :param path: path and query, without a leading slash.
        :raises StoreError: if the instance does not answer.
        :raises RemoteError: if it answers with an error, with that code.
        """
        http = urllib3.PoolManager(ca_certs=self.authority or None)
        base = self.instance
        if '://' not in base:
            base = f'http://{base}'
        key = self.operator_key or os.environ.get(
            'SISKINPASS_OPERATOR_KEY',
            '',
        )
        try:
            answer = http.request(
                method,
                f'{base}/{path}',
                body=body or None,
                headers={OPERATOR_HEADER: key},
                timeout=TIMEOUT_S,
                retries=False,
            )
        except HTTPError as error:
            raise StoreError(
                Code.backend_unreachable,
                f'no answer from {self.instance}: {error}',
            ) from error
        document = answer.json()
        if answer.status != STATUS_OK:
            raise _remote_error(document)
        return document


class RemoteError(SiskinpassError):
    """An instance answered with an error code."""


def _remote_error(document: Any) -> RemoteError:
    error = document['error']
    changed = [
        f'  {change["path"]}: {change["old"]!r} -> {change["new"]!r}'
        for change in error.get('changed', ())
    ]
    detail = '\n'.join((error['message'], *changed))
    return RemoteError(Code(error['code']), detail)
