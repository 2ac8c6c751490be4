"""Recognize a request that comes again."""

import hashlib

from siskinpass.request.inbound import InboundRequest

DIGEST_BYTES = 12


def request_identity(call: InboundRequest) -> str:
    """Return a digest that is the same whenever a request comes again.

    It covers what the request is and who sends it, but not the headers that
    differ with each attempt, such as its id and its time limit.
    """
    request = call.request
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    fields = (
        request.method,
        call.host.encode('latin-1'),
        request.target,
        call.key.encode('latin-1'),
        *(part.key.encode('latin-1') for part in call.prompt.parts),
        request.body,
    )
    for text in fields:
        # The lengths keep apart what the fields hold.
        digest.update(b'%d:' % len(text))
        digest.update(text)
    return digest.hexdigest()
