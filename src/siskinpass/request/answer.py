"""Build the HTTP responses that the router itself gives."""

from http import HTTPStatus

import orjson

from siskinpass.codes import MEANINGS, Code, Ran

MS_PER_S = 1000


def status_text(status: int) -> str:
    """Return the reason phrase of a status, ``Status`` where it is unknown."""
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return 'Status'


def error_body(
    code: Code,
    detail: str = '',
    retry_after_ms: int = 0,
    ran: Ran | None = None,
) -> bytes:
    """Return the JSON body of an error response.

    The parameters are those of ``error_answer``.
    """
    meaning = MEANINGS[code]
    error = {
        'code': int(code),
        'type': code.name,
        'message': detail or meaning.text,
        'ran': (ran or meaning.ran).value,
    }
    if retry_after_ms:
        error['retry_after_ms'] = retry_after_ms
    return orjson.dumps({'error': error})


def error_answer(
    code: Code,
    detail: str = '',
    retry_after_ms: int = 0,
    *,
    ran: Ran | None = None,
    address: str = '',
) -> bytes:
    """Return a complete error response, after which the connection closes.

    :param code: result code, which also selects the HTTP status.
    :param detail: message for the caller instead of the text of the code.
    :param retry_after_ms: when to retry, 0 where that does not help.
    :param ran: whether a backend server ran the request; overrides what the
        table of codes states.
    :param address: another instance to use, empty for none.
    """
    meaning = MEANINGS[code]
    headers = {
        'X-Siskinpass-Code': str(int(code)),
        'X-Siskinpass-Ran': (ran or meaning.ran).value,
    }
    if retry_after_ms:
        seconds = -(-retry_after_ms // MS_PER_S)
        headers['Retry-After'] = str(seconds)
        headers['Retry-After-Ms'] = str(retry_after_ms)
    if address:
        headers['X-Siskinpass-Address'] = address
    body = error_body(code, detail, retry_after_ms, ran)
    return whole_answer(meaning.status, body, headers, keep_alive=False)


def whole_answer(
    status: int,
    body: bytes,
    headers: dict[str, str],
    *,
    keep_alive: bool,
) -> bytes:
    """Return a complete response, head and body, of known length.

    :param headers: additional headers; they override the standard ones.
    """
    head = {
        'Content-Type': 'application/json',
        'Content-Length': str(len(body)),
        'Connection': 'keep-alive' if keep_alive else 'close',
        **headers,
    }
    return head_bytes(status, head) + body


def stream_head(headers: dict[str, str], *, keep_alive: bool) -> bytes:
    """Return the head of a streamed response, sent in chunks.

    :param headers: additional headers; they override the standard ones.
    """
    head = {
        'Content-Type': 'text/event-stream',
        'Cache-Control': 'no-cache',
        'Transfer-Encoding': 'chunked',
        'Connection': 'keep-alive' if keep_alive else 'close',
        **headers,
    }
    return head_bytes(HTTPStatus.OK, head)


def head_bytes(status: int, headers: dict[str, str]) -> bytes:
    """Return a serialized response head, with the empty line that ends it."""
    lines = [f'HTTP/1.1 {int(status)} {status_text(status)}']
    lines.extend(f'{name}: {text}' for name, text in headers.items())
    return '\r\n'.join((*lines, '', '')).encode('latin-1')
