"""CherryPy pages for callers and operators.

Page handlers run on request threads. They read snapshots directly and run
everything else as coroutines on the event loop.
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

# Time that a page waits for its coroutine before it answers edit_unconfirmed.
LOOP_TIMEOUT_S = 15.0
OPERATOR_HEADER = 'X-Siskinpass-Operator-Key'
STATUS_UNREADY = 503
JSON = 'application/json'


class Node(Protocol):
    """Interface of the instance that the pages use.

    Coroutines run on the event loop; the other methods are called on request
    threads.
    """

    def addresses(self, zone: str) -> list[Address]:
        """Return the instances that a caller should use, best first."""

    def unready_reason(self) -> Code | None:
        """Return why this instance is not ready, ``None`` if it is ready."""

    def models(self) -> list[str]:
        """Return the names of the models that callers can use."""

    def tree(self) -> tuple[int, Mapping[str, Any]]:
        """Return number and tree of the version in force.

        :returns: 0 and an empty mapping before the first version.
        """

    def status(self) -> Mapping[str, Any]:
        """Return the status document."""

    def metrics(self) -> bytes:
        """Return all metrics in the Prometheus text format."""

    async def propose(self, proposal: Proposal) -> int:
        """Accept an edit and return the number of its version.

        :raises SiskinpassError: if the edit was not accepted or its outcome is
            unknown.
        """

    async def history(self) -> tuple[Edit, ...]:
        """Return the latest accepted edits of the tree."""

    async def tree_at(self, number: int) -> Mapping[str, Any]:
        """Return the tree of an accepted version.

        :raises TreeError: if the version is not in the history.
        """

    async def drain(self) -> None:
        """Begin to leave; return before the open requests are answered."""


class _BasePages:
    """Pages that callers and operators have in common."""

    def __init__(self, node: Node, loop: asyncio.AbstractEventLoop) -> None:
        self._node = node
        self._loop = loop

    def _run_on_loop(self, coroutine: Coroutine[Any, Any, Any]) -> Any:
        future = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        return future.result(LOOP_TIMEOUT_S)

    @cherrypy.expose
    def healthz(self) -> bytes:
        """Return status 200, which shows that the process is running."""
        return _json({'alive': True})

    @cherrypy.expose
    def readyz(self) -> bytes:
        """Return status 200 if callers should use this instance, else an error.

        The error's code says why they should not.
        """
        reason = self._node.unready_reason()
        if reason is None:
            return _json({'ready': True})
        return _error(SiskinpassError(reason))


class CallerPages(_BasePages):
    """Pages for callers, except the relayed paths."""

    def __init__(
        self,
        node: Node,
        loop: asyncio.AbstractEventLoop,
        keep_s: int,
    ) -> None:
        """Create the pages.

        :param keep_s: time in seconds for which callers may cache an address.
        """
        super().__init__(node, loop)
        self._keep_s = keep_s
        self.v1 = _ModelPages(node)

    @cherrypy.expose
    def address(self, zone: str = '') -> bytes:
        """Return the instances that a caller should use, and for how long.

        :param zone: availability zone of the caller, empty where unknown.
        """
        addresses = [asdict(entry) for entry in self._node.addresses(zone)]
        return _json({'addresses': addresses, 'keep_s': self._keep_s})

    @cherrypy.expose
    def default(self, *path: str, **query: str) -> bytes:
        """Answer any other path with an error."""
        return _error(SiskinpassError(Code.unknown_path))


class _ModelPages:
    """Pages under ``/v1``."""

    def __init__(self, node: Node) -> None:
        self._node = node

    @cherrypy.expose
    def models(self) -> bytes:
        """List the models, in the format of the OpenAI API."""
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
    """Pages for operators; most of them require the operators' key."""

    def __init__(
        self,
        node: Node,
        loop: asyncio.AbstractEventLoop,
        key: str,
    ) -> None:
        super().__init__(node, loop)
        self._key = key

    @cherrypy.expose
    def tree(self, *path: str, **query: str) -> bytes:
        """Return the tree, or propose a new one with PUT.

        Without a version number in the path, the version in force is returned.
        """
        return self._answer_if_authorized(lambda: self._tree(path))

    @cherrypy.expose
    def history(self) -> bytes:
        """Return the latest accepted edits of the tree."""
        return self._answer_if_authorized(
            lambda: [
                asdict(edit) for edit in self._run_on_loop(self._node.history())
            ],
        )

    @cherrypy.expose
    def diff(self, old: str = '0', new: str = '0') -> bytes:
        """Return the changes from one version to another, by number."""
        return self._answer_if_authorized(
            lambda: self._diff(_parse_version(old), _parse_version(new))
        )

    @cherrypy.expose
    def status(self) -> bytes:
        """Return the status document."""
        return self._answer_if_authorized(self._node.status)

    @cherrypy.expose
    def drain(self) -> bytes:
        """Begin to leave, as on SIGTERM."""
        return self._answer_if_authorized(self._drain)

    @cherrypy.expose
    def metrics(self) -> bytes:
        """Return all metrics in the Prometheus text format; needs no key."""
        cherrypy.response.headers['Content-Type'] = 'text/plain'
        return self._node.metrics()

    @cherrypy.expose
    def default(self, *path: str, **query: str) -> bytes:
        """Answer any other path with an error."""
        return _error(SiskinpassError(Code.unknown_path))

    def _answer_if_authorized(self, answer: Callable[[], Any]) -> bytes:
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
            document = orjson.loads(body)
            text = document['tree']
            base = int(document['base'])
        except (KeyError, TypeError, ValueError) as error:
            raise TreeError(
                Code.tree_invalid, 'the body needs the fields tree and base'
            ) from error
        tree = _validated_mapping(text)
        proposal = Proposal(
            base,
            tree,
            str(document.get('author', '')),
            str(document.get('message', '')),
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
    """Return a WSGI application that does not log to standard output."""
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
    """Validate a tree given as YAML or as mappings; return it as mappings."""
    if isinstance(text, str):
        # Parsing the operator's own text gives errors with its line numbers.
        return tree_mapping(parse_tree(text))
    return tree_mapping(make_version(0, text).tree)


def _parse_version(text: str) -> int:
    if not text.isdigit():
        raise TreeError(Code.unknown_version, f'not a version number: {text}')
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
