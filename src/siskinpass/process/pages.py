"""Serve the pages of callers and operators with CherryPy.

Page handlers run on request threads. They read snapshots and ask the event
loop for everything else by message.
"""

import asyncio
import hmac
from collections.abc import Callable, Coroutine, Mapping
from dataclasses import asdict
from typing import Any, Protocol

import cherrypy
import orjson

from siskinpass.codes import MEANINGS, Code
from siskinpass.exceptions import SiskinpassError, TreeError
from siskinpass.process.addresses import Address
from siskinpass.request.answer import error_body
from siskinpass.version.document import parse_tree, tree_mapping
from siskinpass.version.edit import ConflictError, diff
from siskinpass.version.repository import Edit, Proposal, make_version

LOOP_TIMEOUT_S = 15.0
OPERATOR_HEADER = 'X-Siskinpass-Operator-Key'
STATUS_UNREADY = 503
JSON = 'application/json'


class Node(Protocol):
    """Answer what the pages ask; each coroutine runs on the event loop."""

    def addresses(self, zone: str) -> list[Address]:
        """Return instances to use, the best first."""

    def unready_reason(self) -> Code | None:
        """Return why this instance is not ready, or none."""

    def models(self) -> list[str]:
        """Return the models of the version in force."""

    def tree(self) -> tuple[int, Mapping[str, Any]]:
        """Return number and tree of the version in force."""

    def status(self) -> Mapping[str, Any]:
        """Return what holds."""

    def metrics(self) -> bytes:
        """Return the counters."""

    async def propose(self, proposal: Proposal) -> int:
        """Accept an edit and return the number of its version."""

    async def history(self) -> tuple[Edit, ...]:
        """Return the latest edits."""

    async def tree_at(self, number: int) -> Mapping[str, Any]:
        """Return an earlier tree."""

    async def drain(self) -> None:
        """Begin to leave."""


class _BasePages:
    """Share what both sides need."""

    def __init__(self, node: Node, loop: asyncio.AbstractEventLoop) -> None:
        self._node = node
        self._loop = loop

    def _run_on_loop(self, coroutine: Coroutine[Any, Any, Any]) -> Any:
        future = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        return future.result(LOOP_TIMEOUT_S)

    @cherrypy.expose
    def healthz(self) -> bytes:
        """Answer while the process lives."""
        return _json({'alive': True})

    @cherrypy.expose
    def readyz(self) -> bytes:
        """Answer whether callers should be sent here."""
        reason = self._node.unready_reason()
        if reason is None:
            return _json({'ready': True})
        return _error(SiskinpassError(reason))


class CallerPages(_BasePages):
    """Answer callers for all but the relayed paths."""

    def __init__(
        self,
        node: Node,
        loop: asyncio.AbstractEventLoop,
        keep_s: int,
    ) -> None:
        """Set how long a caller may keep an address."""
        super().__init__(node, loop)
        self._keep_s = keep_s
        self.v1 = _ModelPages(node)

    @cherrypy.expose
    def address(self, zone: str = '') -> bytes:
        """Tell a caller which instances to use, and for how long."""
        addresses = [asdict(entry) for entry in self._node.addresses(zone)]
        return _json({'addresses': addresses, 'keep_s': self._keep_s})

    @cherrypy.expose
    def default(self, *path: str, **query: str) -> bytes:
        """Answer for any other path."""
        return _error(SiskinpassError(Code.unknown_path))


class _ModelPages:
    """Answer under ``/v1``."""

    def __init__(self, node: Node) -> None:
        self._node = node

    @cherrypy.expose
    def models(self) -> bytes:
        """List the models."""
        entries = [
            {
                'id': model,
                'object': 'model',
                'created': 0,
                'owned_by': 'siskinpass',
            }
            for model in self._node.models()
        ]
        return _json({'object': 'list', 'data': entries})


class OperatorPages(_BasePages):
    """Answer operators, who show their key on every call."""

    def __init__(
        self,
        node: Node,
        loop: asyncio.AbstractEventLoop,
        key: str,
    ) -> None:
        """Keep the operators' key."""
        super().__init__(node, loop)
        self._key = key

    @cherrypy.expose
    def tree(self, *path: str, **query: str) -> bytes:
        """Read the tree, or propose another with PUT."""
        return self._with_key(lambda: self._tree(path))

    @cherrypy.expose
    def history(self) -> bytes:
        """Tell the latest edits."""
        return self._with_key(
            lambda: [
                asdict(edit) for edit in self._run_on_loop(self._node.history())
            ],
        )

    @cherrypy.expose
    def diff(self, old: str = '0', new: str = '0') -> bytes:
        """Tell what changed from one version to another."""
        return self._with_key(
            lambda: self._diff(_parse_version(old), _parse_version(new))
        )

    @cherrypy.expose
    def status(self) -> bytes:
        """Tell what holds."""
        return self._with_key(self._node.status)

    @cherrypy.expose
    def drain(self) -> bytes:
        """Begin to leave, as a termination signal does."""
        return self._with_key(self._drain)

    @cherrypy.expose
    def metrics(self) -> bytes:
        """Tell the counters; needs no key."""
        cherrypy.response.headers['Content-Type'] = 'text/plain'
        return self._node.metrics()

    @cherrypy.expose
    def default(self, *path: str, **query: str) -> bytes:
        """Answer for any other path."""
        return _error(SiskinpassError(Code.unknown_path))

    def _with_key(self, answer: Callable[[], Any]) -> bytes:
        given_key = cherrypy.request.headers.get(OPERATOR_HEADER, '')
        if not hmac.compare_digest(given_key.encode(), self._key.encode()):
            return _error(SiskinpassError(Code.operator_key_wrong))
        try:
            return _json(answer())
        except SiskinpassError as error:
            return _error(error)
        except TimeoutError:
            return _error(SiskinpassError(Code.edit_unconfirmed))

    def _tree(self, path: tuple[str, ...]) -> Any:
        if cherrypy.request.method == 'PUT':
            return {'version': self._propose(cherrypy.request.body.read())}
        if path:
            number = _parse_version(path[0])
            return {
                'version': number,
                'tree': self._run_on_loop(self._node.tree_at(number)),
            }
        number, tree = self._node.tree()
        return {'version': number, 'tree': tree}

    def _propose(self, body: bytes) -> int:
        try:
            future = orjson.loads(body)
            text = future['tree']
            base = int(future['base'])
        except (KeyError, TypeError, ValueError) as why:
            raise TreeError(Code.tree_invalid, 'no tree and base') from why
        tree = _validated_mapping(text)
        proposal = Proposal(
            base,
            tree,
            str(future.get('author', '')),
            str(future.get('message', '')),
        )
        return self._run_on_loop(self._node.propose(proposal))

    def _diff(self, old: int, new: int) -> list[dict[str, Any]]:
        before = self._run_on_loop(self._node.tree_at(old))
        after = self._run_on_loop(self._node.tree_at(new))
        return [asdict(change) for change in diff(before, after)]

    def _drain(self) -> dict[str, bool]:
        self._run_on_loop(self._node.drain())
        return {'leaving': True}


def make_application(root: object) -> cherrypy.Application:
    """Return a WSGI application of pages that never logs to the screen."""
    cherrypy.config.update({'environment': 'embedded'})
    application = cherrypy.Application(root, '')
    application.log.screen = False
    application.merge({
        '/': {
            'tools.trailing_slash.on': False,
            'request.show_tracebacks': False,
            'error_page.default': _error_page,
        },
    })
    return application


def _validated_mapping(text: str | Mapping[str, Any]) -> dict[str, Any]:
    """Check a tree given as YAML or as mappings; return it as mappings."""
    if isinstance(text, str):
        # Parsing the operator's own text keeps the line numbers of faults.
        return tree_mapping(parse_tree(text))
    return tree_mapping(make_version(0, text).tree)


def _parse_version(text: str) -> int:
    if not text.isdigit():
        raise TreeError(Code.unknown_version, f'not a version: {text}')
    return int(text)


def _json(document: Any) -> bytes:
    cherrypy.response.headers['Content-Type'] = JSON
    return orjson.dumps(document)


def _error(error: SiskinpassError) -> bytes:
    meaning = MEANINGS[error.code]
    response = cherrypy.response
    response.status = meaning.status
    response.headers['Content-Type'] = JSON
    response.headers['X-Siskinpass-Code'] = str(int(error.code))
    response.headers['X-Siskinpass-Ran'] = meaning.ran.value
    body = orjson.loads(error_body(error.code, str(error)))
    if isinstance(error, ConflictError):
        body['error']['changed'] = [asdict(change) for change in error.theirs]
    return orjson.dumps(body)


def _error_page(**fields: str) -> bytes:
    cherrypy.response.headers['Content-Type'] = JSON
    code = Code.malformed_head
    if fields['status'].startswith('404'):
        code = Code.unknown_path
    cherrypy.response.headers['X-Siskinpass-Code'] = str(int(code))
    return error_body(code, fields['message'])
