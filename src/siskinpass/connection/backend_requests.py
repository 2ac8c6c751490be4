"""Encode requests to model engines and plain services.

Outside of the package ``platform``, this is the only module that knows the HTTP
interfaces of the two kinds of backend server.
"""

from dataclasses import dataclass
from functools import lru_cache
from urllib.parse import quote

import orjson

from siskinpass.request.call import Call


@dataclass(frozen=True, slots=True)
class EngineOptions:
    """Fields that the router adds to a request to an engine.

    :param priority: priority in the engine's queue, 0 is served first.
    :param resume_from: number of tokens that the caller has already received.
    """

    priority: int
    resume_from: int


def encode_engine_request(
    call: Call,
    request_id: str,
    host: str,
    options: EngineOptions,
) -> bytes:
    """Return a request to a model engine, which always streams its response.

    If the caller did not set ``max_tokens``, the maximum of its request class
    is sent.
    """
    fields = {
        **call.fields,
        'stream': True,
        'request_id': request_id,
        'priority': options.priority,
        'resume_from': options.resume_from,
    }
    fields.setdefault('max_tokens', call.class_settings.max_tokens)
    return _post(call.path, host, orjson.dumps(fields), request_id)


def encode_service_request(call: Call, request_id: str, host: str) -> bytes:
    """Return a request to a plain service with the caller's body."""
    return _post(quote(call.service_path), host, call.body, request_id)


def event_marker(request_id: str) -> bytes:
    """Return the bytes that every event for this request contains."""
    return b'"id":"%b"' % request_id.encode()


def assemble_answer(events: bytes, *, chat: bool) -> bytes:
    """Return the non-streamed response body equal to a stream of events.

    :param events: complete server-sent events; a closing ``[DONE]`` event is
        ignored.
    :param chat: whether the events are of the chat completions interface.
    """
    documents = [
        orjson.loads(event.removeprefix(b'data: '))
        for event in events.split(b'\n\n')
        if event and not event.endswith(b'[DONE]')
    ]
    last = documents[-1]
    texts = [_delta_text(document, chat=chat) for document in documents]
    choice = {
        'index': 0,
        'finish_reason': last['choices'][0].get('finish_reason'),
    }
    if chat:
        message = {'role': 'assistant', 'content': ''.join(texts)}
        choice['message'] = message
    else:
        choice['text'] = ''.join(texts)
    return orjson.dumps({
        'id': last['id'],
        'object': 'chat.completion' if chat else 'text_completion',
        'created': last.get('created', 0),
        'model': last.get('model', ''),
        'choices': [choice],
        'usage': {
            'prompt_tokens': 0,
            'completion_tokens': len(documents),
            'total_tokens': len(documents),
        },
    })


def _delta_text(document: dict, *, chat: bool) -> str:
    choice = document['choices'][0]
    if chat:
        return choice['delta'].get('content') or ''
    return choice.get('text') or ''


def _post(path: str, host: str, body: bytes, request_id: str) -> bytes:
    head = _head_start(path, host)
    return b'%bX-Request-Id: %b\r\nContent-Length: %d\r\n\r\n%b' % (
        head,
        request_id.encode(),
        len(body),
        body,
    )


@lru_cache(maxsize=1024)
def _head_start(path: str, host: str) -> bytes:
    lines = (
        f'POST {path} HTTP/1.1',
        f'Host: {host}',
        'Content-Type: application/json',
        '',
    )
    return '\r\n'.join(lines).encode('latin-1')
