"""Recognize a request that comes again."""

import hashlib

from siskinpass.request.inbound import InboundRequest

DIGEST_BYTES = 12
# Names of requests are kept beside names of prompt parts.
PREFIX = 'request/'


def request_identity(call: InboundRequest) -> str:
    """Return a name that is the same whenever a request comes again.

    It covers what the request is and who sends it, but not the headers that
    differ with each attempt, such as its id and its time limit.
    """
    request = call.request
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    fields = (
        request.method,
        call.host.encode('latin-1'),
        request.target,
        call.key.encode(),
        *(part.key.encode('latin-1') for part in call.prompt.parts),
        request.body,
    )
    for text in fields:
        # The lengths keep apart what the fields hold.
        digest.update(b'%d:' % len(text))
        digest.update(text)
    return f'{PREFIX}{digest.hexdigest()}'


def is_identity(name: str) -> bool:
    """Return whether a name is that of a request."""
    return name.startswith(PREFIX)
