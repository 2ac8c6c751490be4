"""Versions of the settings tree in the object store.

One head object names the version in force: its number, the hash of its
manifest, and the latest edits with the nonces of their writers. The manifest
lists the root and the workspace branches by their hashes. Manifest, root and
branches are separate objects, stored under their hashes. Only the conditional
update of the head accepts an edit.
"""

import hashlib
import secrets
from collections.abc import Callable, Iterable, Mapping
from contextlib import suppress
from dataclasses import asdict, dataclass
from typing import Any

import orjson
import yaml

from siskinpass.codes import Code
from siskinpass.exceptions import (
    StoreConflictError,
    StoreError,
    StoreUnconfirmedError,
    TreeError,
)
from siskinpass.process.store import Store, StoredObject
from siskinpass.version.document import parse_tree
from siskinpass.version.edit import rebase
from siskinpass.version.keys import KeyTable
from siskinpass.version.tree_version import TreeVersion

HEAD = 'tree/head'
PART = 'tree/parts/'
MAX_HISTORY = 50  # edits; bounds the size of the head object
MAX_TRIES = 4  # attempts to commit one edit
DIGEST_BYTES = 16
ROOT = '/'


@dataclass(frozen=True, slots=True)
class Edit:
    """One accepted edit, as recorded in the history.

    :param number: number of the version that it made.
    :param nonce: random text by which its writer recognizes it.
    :param at: wall-clock time at which it was made.
    :param manifest: hash of the manifest of the version.
    """

    number: int
    author: str
    message: str
    nonce: str
    at: str
    manifest: str


@dataclass(frozen=True, slots=True)
class Head:
    """Content of the head object.

    :param number: number of the version in force, 0 before the first.
    :param manifest: hash of its manifest, empty before the first version.
    :param history: the latest edits, newest last.
    """

    number: int
    manifest: str
    history: tuple[Edit, ...]


@dataclass(frozen=True, slots=True)
class Proposal:
    """An edit that an operator requests.

    :param base: number of the version that the operator edited, 0 for none.
    :param tree: the complete tree after the edit.
    :param author: name of the operator, for the history.
    :param message: reason of the edit, for the history.
    """

    base: int
    tree: Mapping[str, Any]
    author: str = ''
    message: str = ''


class TreeRepository:
    """Reads and edits the settings tree in the object store."""

    def __init__(self, store: Store, stamp: Callable[[], str]) -> None:
        """Start without anything cached.

        :param store: the object store.
        :param stamp: returns the wall-clock time as text for the history.
        """
        self._store = store
        self._stamp = stamp
        self._parts: dict[str, bytes] = {}

    async def read(self) -> TreeVersion | None:
        """Return the version that the head names, or None before the first.

        :raises StoreError: where the store does not answer.
        """
        return await self.load(await self._store.read(HEAD))

    async def watch(self, seen: int, wait_s: float) -> StoredObject | None:
        """Return the head object once it is newer than a version seen.

        :param seen: version of the object that the caller has seen.
        :param wait_s: longest time to wait.
        """
        return await self._store.watch(HEAD, seen, wait_s)

    async def load(self, stored: StoredObject | None) -> TreeVersion | None:
        """Return the tree version that a head object names.

        :param stored: the head object; with None the result is None.
        """
        if stored is None:
            return None
        head = _load_head(stored.body)
        return make_version(head.number, await self._assemble(head.manifest))

    async def history(self) -> tuple[Edit, ...]:
        """Return the recorded edits, newest last."""
        stored = await self._store.read(HEAD)
        return _load_head(stored.body).history if stored else ()

    async def tree_at(self, number: int) -> dict[str, Any]:
        """Return the tree of a version in the history.

        :raises TreeError: where the history does not contain the version.
        """
        for edit in await self.history():
            if edit.number == number:
                return await self._assemble(edit.manifest)
        raise TreeError(Code.unknown_version, f'no version {number}')

    async def propose(self, proposal: Proposal) -> TreeVersion:
        """Commit an edit, rebased on the edits accepted since its base.

        :returns: the new version.
        :raises TreeError: where the tree has faults or the edit conflicts.
        :raises StoreUnconfirmedError: where the outcome is unknown.
        :raises StoreError: where the store does not answer; the edit was not
            accepted.
        """
        nonce = secrets.token_hex(8)
        failures: list[StoreError] = []
        while len(failures) < MAX_TRIES:
            try:
                return await self._try_propose(proposal, nonce)
            except (StoreConflictError, StoreUnconfirmedError) as error:
                # The next try reads the head, whose history contains the nonce
                # if this write took effect.
                failures.append(error)
            except StoreError as error:
                raise _final_error(failures, error) from error
        raise _final_error(failures, failures[-1])

    async def _try_propose(
        self,
        proposal: Proposal,
        nonce: str,
    ) -> TreeVersion:
        stored = await self._store.read(HEAD)
        head = _load_head(stored.body) if stored else _EMPTY_HEAD
        found = _find_edit(head, nonce)
        if found is not None:
            tree = await self._assemble(found.manifest)
            return make_version(found.number, tree)
        tree = await self._rebase_on_head(proposal, head)
        version = make_version(head.number + 1, tree)
        manifest = await self._write_parts(tree, head.manifest)
        edit = Edit(
            version.number,
            proposal.author,
            proposal.message,
            nonce,
            self._stamp(),
            manifest,
        )
        history = (*head.history, edit)[-MAX_HISTORY:]
        body = _dump_head(Head(edit.number, manifest, history))
        if stored is None:
            await self._store.create(HEAD, body)
        else:
            await self._store.replace(HEAD, body, stored.version)
        return version

    async def _rebase_on_head(
        self, proposal: Proposal, head: Head
    ) -> dict[str, Any]:
        if proposal.base == head.number:
            return dict(proposal.tree)
        theirs = await self._assemble(head.manifest)
        base = await self.tree_at(proposal.base) if proposal.base else {}
        return rebase(base, proposal.tree, theirs)

    async def _write_parts(
        self,
        tree: Mapping[str, Any],
        known: str,
    ) -> str:
        """Write the parts that are not in the known manifest.

        :param known: hash of the known manifest, empty for none.
        :returns: hash of the new manifest.
        """
        manifest = await self._manifest(known) if known else {}
        present = set(manifest.values())
        names = {}
        for name, part in _split(tree).items():
            body = orjson.dumps(part, option=orjson.OPT_SORT_KEYS)
            names[name] = _digest(body)
            if names[name] not in present:
                await self._write_part(names[name], body)
        body = orjson.dumps(names, option=orjson.OPT_SORT_KEYS)
        await self._write_part(_digest(body), body)
        return _digest(body)

    async def _write_part(self, digest: str, body: bytes) -> None:
        if digest in self._parts:
            return
        with suppress(StoreConflictError):
            await self._store.create(PART + digest, body)
        self._parts[digest] = body

    async def _manifest(self, digest: str) -> dict[str, str]:
        return orjson.loads(await self._part(digest))

    async def _assemble(self, digest: str) -> dict[str, Any]:
        manifest = await self._manifest(digest)
        tree: dict[str, Any] = orjson.loads(await self._part(manifest[ROOT]))
        tree['workspaces'] = {
            name: orjson.loads(await self._part(part))
            for name, part in manifest.items()
            if name != ROOT
        }
        self._trim_cache({digest, *manifest.values()})
        return tree

    async def _part(self, digest: str) -> bytes:
        body = self._parts.get(digest)
        if body is None:
            stored = await self._store.read(PART + digest)
            if stored is None:
                raise StoreError(Code.store_down, f'no part {digest}')
            body = stored.body
            self._parts[digest] = body
        return body

    def _trim_cache(self, wanted: set[str]) -> None:
        """Drop parts not in ``wanted`` once about two versions are cached."""
        if len(self._parts) > 2 * len(wanted) + 8:
            self._parts = {
                digest: body
                for digest, body in self._parts.items()
                if digest in wanted
            }


def make_version(number: int, tree: Mapping[str, Any]) -> TreeVersion:
    """Return the version of a tree that is given as plain mappings.

    :raises TreeError: where the tree has faults.
    """
    text = yaml.dump(dict(tree), Dumper=yaml.CSafeDumper, sort_keys=True)
    parsed = parse_tree(text)
    return TreeVersion(number, parsed, KeyTable(parsed), text)


def load_version(number: int, text: str) -> TreeVersion:
    """Return the version of a tree that another instance sent as YAML.

    :raises TreeError: where the tree has faults.
    """
    parsed = parse_tree(text)
    return TreeVersion(number, parsed, KeyTable(parsed), text)


def _split(tree: Mapping[str, Any]) -> dict[str, Any]:
    root = {name: part for name, part in tree.items() if name != 'workspaces'}
    return {ROOT: root, **(tree.get('workspaces') or {})}


def _final_error(
    failures: Iterable[StoreError],
    last: StoreError,
) -> StoreError:
    """Return the error for an edit that was not confirmed.

    If any write had an unknown outcome, the edit may be in force.
    """
    unsure = any(isinstance(error, StoreUnconfirmedError) for error in failures)
    return StoreUnconfirmedError(Code.edit_unconfirmed) if unsure else last


def _digest(body: bytes) -> str:
    return hashlib.blake2b(body, digest_size=DIGEST_BYTES).hexdigest()


def _find_edit(head: Head, nonce: str) -> Edit | None:
    for edit in head.history:
        if edit.nonce == nonce:
            return edit
    return None


def _dump_head(head: Head) -> bytes:
    return orjson.dumps(asdict(head))


def _load_head(body: bytes) -> Head:
    fields = orjson.loads(body)
    history = tuple(Edit(**edit) for edit in fields['history'])
    return Head(fields['number'], fields['manifest'], history)


_EMPTY_HEAD = Head(0, '', ())
