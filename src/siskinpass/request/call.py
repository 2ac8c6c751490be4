"""Validate a request against the settings tree.

Pure logic without I/O: it checks the head and the body of a request against the
tree version in force and returns a call or raises an error with a result code.
"""

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import orjson

from siskinpass.codes import Code
from siskinpass.exceptions import RequestError
from siskinpass.request.head import RequestHead
from siskinpass.version.schema import ClassSettings, Pool
from siskinpass.version.tree_version import TreeVersion

CHAT_PATH = '/v1/chat/completions'
TEXT_PATH = '/v1/completions'
SERVICE_PREFIX = '/v1/services/'
ENGINE_PATHS = frozenset((CHAT_PATH, TEXT_PATH))

CLASS_HEADER = 'x-siskinpass-class'
WORKSPACE_HEADER = 'x-siskinpass-workspace'
REPEATABLE_HEADER = 'x-siskinpass-repeatable'
IDEMPOTENCY_HEADER = 'idempotency-key'
BEARER = 'Bearer '
MAX_IDEMPOTENCY_KEY_LENGTH = 255
PREFIX_CHARS = 256  # length of the start of a prompt that is hashed
DIGEST_BYTES = 16
ENGINE = 'engine'


@dataclass(frozen=True, slots=True)
class Call:
    """A request that passed validation.

    :param node: path of its class, ``workspace/class``.
    :param class_settings: settings in force for its class.
    :param pool: backend servers that serve its class.
    :param path: path of the request.
    :param fields: parsed JSON body of a call to an engine, empty otherwise.
    :param body: the body as the caller sent it.
    :param service_path: path at a plain service, empty for an engine.
    :param stream: whether the caller wants a streamed response.
    :param repeatable: whether the call may run more than once.
    :param idempotency_key: the caller's key, empty where there is none.
    :param prefix: hash of the start of the prompt, 0 where the prompt is
        short.
    """

    workspace: str
    node: str
    class_settings: ClassSettings
    pool: Pool
    path: str
    fields: Mapping[str, Any]
    body: bytes
    service_path: str
    stream: bool
    repeatable: bool
    idempotency_key: str
    prefix: int

    @property
    def digest(self) -> str:
        """Return a hash of path and body that identifies the request."""
        text = f'{self.path}\n'.encode() + self.body
        return hashlib.blake2b(text, digest_size=DIGEST_BYTES).hexdigest()


def parse_call(
    head: RequestHead,
    body: bytes,
    version: TreeVersion,
) -> Call:
    """Return the checked call of a request.

    :raises RequestError: where the request is not valid, with the code of the
        first fault found.
    """
    workspace, leaf = _identify(head, version)
    class_settings = version.tree.class_settings(workspace, leaf)
    if class_settings is None:
        raise RequestError(Code.unknown_class, f'no class {leaf}')
    is_service = head.path.startswith(SERVICE_PREFIX)
    fields = {} if is_service else _parse_fields(body)
    pool = version.tree.root.pools[class_settings.pool]
    _check_kind(class_settings, pool, fields, is_service=is_service)
    return Call(
        workspace=workspace,
        node=f'{workspace}/{leaf}',
        class_settings=class_settings,
        pool=pool,
        path=head.path,
        fields=fields,
        body=body,
        service_path=_service_path(head.path) if is_service else '',
        stream=bool(fields.get('stream', False)),
        repeatable=_is_repeatable(head, class_settings),
        idempotency_key=_idempotency_key(head),
        prefix=_prefix(fields),
    )


def _identify(head: RequestHead, version: TreeVersion) -> tuple[str, str]:
    key = _text(head, 'authorization').removeprefix(BEARER)
    found = version.keys.find(key) if key else None
    if found is None:
        raise RequestError(Code.unknown_key)
    workspace, entry = found
    if _text(head, WORKSPACE_HEADER, workspace) != workspace:
        raise RequestError(Code.unknown_workspace)
    leaf = _text(head, CLASS_HEADER, entry.default_class)
    return workspace, leaf


def _text(head: RequestHead, name: str, default: str = '') -> str:
    """Return a header to compare with texts of the tree, which are UTF-8."""
    found = head.headers.get(name)
    if found is None:
        return default
    return found.encode('latin-1').decode(errors='replace')


def _parse_fields(body: bytes) -> dict[str, Any]:
    try:
        fields = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise RequestError(Code.malformed_json, str(error)) from error
    if not isinstance(fields, dict):
        raise RequestError(Code.malformed_json)
    return fields


def _service_path(path: str) -> str:
    _, slash, rest = path.removeprefix(SERVICE_PREFIX).partition('/')
    return slash + rest or '/'


def _check_kind(
    class_settings: ClassSettings,
    pool: Pool,
    fields: Mapping[str, Any],
    *,
    is_service: bool,
) -> None:
    if is_service == (pool.kind == ENGINE):
        detail = f'the class goes to pool {class_settings.pool}'
        raise RequestError(Code.unknown_path, detail)
    if is_service:
        return
    if fields.get('model') not in pool.models:
        detail = f'no model {fields.get("model")}'
        raise RequestError(Code.unknown_model, detail)
    _check_fields(fields, class_settings)


def _check_fields(
    fields: Mapping[str, Any], class_settings: ClassSettings
) -> None:
    if not isinstance(fields.get('stream', False), bool):
        raise RequestError(Code.wrong_field, 'stream is not true or false')
    if not isinstance(fields.get('prompt', ''), str):
        raise RequestError(Code.wrong_field, 'prompt is not a string')
    if not isinstance(fields.get('messages', []), list):
        raise RequestError(Code.wrong_field, 'messages is not a list')
    if 'prompt' not in fields and 'messages' not in fields:
        raise RequestError(Code.wrong_field, 'prompt or messages is missing')
    max_tokens = fields.get('max_tokens')
    if max_tokens is None:
        return
    is_integer = isinstance(max_tokens, int) and not isinstance(
        max_tokens, bool
    )
    if not is_integer or not 1 <= max_tokens <= class_settings.max_tokens:
        reason = f'max_tokens is not within 1 and {class_settings.max_tokens}'
        raise RequestError(Code.wrong_field, reason)


def _is_repeatable(head: RequestHead, class_settings: ClassSettings) -> bool:
    answer = head.headers.get(REPEATABLE_HEADER, 'yes').lower()
    if answer not in {'yes', 'no'}:
        raise RequestError(Code.wrong_field, 'repeatable is not yes or no')
    return class_settings.repeatable and answer == 'yes'


def _idempotency_key(head: RequestHead) -> str:
    key = head.headers.get(IDEMPOTENCY_HEADER, '')
    if len(key) > MAX_IDEMPOTENCY_KEY_LENGTH:
        raise RequestError(Code.wrong_field, 'the idempotency key is too long')
    return key


def _prefix(fields: Mapping[str, Any]) -> int:
    start = fields.get('prompt') or str(fields.get('messages', ''))
    if len(start) < PREFIX_CHARS:
        return 0
    text = f'{fields.get("model")}\n{start[:PREFIX_CHARS]}'
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest)
