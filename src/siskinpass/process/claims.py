"""Claim requests that must run at most once, in the object store."""

import asyncio
import hashlib
import secrets
import time
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, replace
from typing import Protocol

from siskinpass.codes import Code
from siskinpass.exceptions import (
    RefusedError,
    RequestError,
    StoreConflictError,
    StoreError,
    StoreUnconfirmedError,
)
from siskinpass.process.logs import ComponentLog
from siskinpass.process.store import Store
from siskinpass.request.call import Call
from siskinpass.request.claim import (
    MAX_STORED_BODY_BYTES,
    Claim,
    ClaimAction,
    ClaimState,
    decide_claim,
)

OPEN_S = 60.0
EXPIRY_S = 86_400.0
RETRY_S = 1.0
COLLECT_EVERY_S = 600.0
RETRY_MS = 1000
UNSETTLED_MOST = 2000
CREATE_TRIES = 3
PREFIX = 'claims/'
DIGEST_BYTES = 16


@dataclass(frozen=True, slots=True)
class HeldClaim:
    """Hold a claim that this request may run under."""

    key: str
    claim: Claim
    version: int


@dataclass(frozen=True, slots=True)
class Replay:
    """Hold the stored answer of an earlier request with the same key."""

    status: int
    body: bytes


class Lease(Protocol):
    """Tell whether a lease is held."""

    @property
    def fence(self) -> int | None:
        """Return the fencing number while the lease is held."""


class Claims:
    """Make claims, settle them, and collect the expired ones."""

    def __init__(
        self,
        store: Store,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        """Start with nothing to settle."""
        self._store = store
        self._wall_clock = wall_clock
        self._unsettled: deque[HeldClaim] = deque(maxlen=UNSETTLED_MOST)
        self._log = ComponentLog('claim')

    @property
    def unsettled(self) -> int:
        """Return how many outcomes still have to be written."""
        return len(self._unsettled)

    async def make(self, call: Call) -> HeldClaim | Replay:
        """Claim a call by its key, or return the answer it already had.

        :raises RefusedError: where the store does not answer; nothing ran.
        :raises RequestError: where the key is taken, with the code why.
        """
        key = claim_key(call)
        claim = Claim(
            secrets.token_hex(8),
            call.digest,
            ClaimState.open,
            self._wall_clock(),
        )
        for _ in range(CREATE_TRIES):
            try:
                return await self._try_make(key, claim)
            except StoreUnconfirmedError:
                continue
            except StoreError as error:
                raise _store_down(str(error)) from error
        self._settle_later(HeldClaim(key, claim, 0))
        raise _store_down('the claim could not be confirmed')

    async def settle(
        self,
        held: HeldClaim,
        state: ClaimState,
        status: int = 0,
        body: bytes = b'',
    ) -> None:
        """Write how a claimed request ended; a failed write is repeated."""
        if len(body) > MAX_STORED_BODY_BYTES:
            status, body = 0, b''
        settled = replace(
            held.claim,
            state=state,
            status=status,
            body=body.decode(errors='replace'),
        )
        await self._write_or_keep(replace(held, claim=settled))

    async def run(self) -> None:
        """Repeat the writes that failed."""
        while True:
            await asyncio.sleep(RETRY_S)
            waiting = tuple(self._unsettled)
            self._unsettled.clear()
            for held in waiting:
                await self._write_or_keep(held)

    async def run_collection(self, lease: Lease) -> None:
        """Collect expired claims while a lease is held."""
        while True:
            await asyncio.sleep(COLLECT_EVERY_S)
            if lease.fence is None:
                continue
            with suppress(StoreError):
                removed = await self.collect()
                self._log.note('Collected expired claims.', removed=removed)

    async def collect(self) -> int:
        """Remove expired claims and return how many there were."""
        removed = 0
        for key in await self._store.names(PREFIX):
            stored = await self._store.read(key)
            if stored is None:
                continue
            age_s = self._wall_clock() - Claim.load(stored.body).written_s
            if age_s > EXPIRY_S:
                await self._store.delete(key, stored.version)
                removed += 1
        return removed

    async def _try_make(self, key: str, claim: Claim) -> HeldClaim | Replay:
        try:
            version = await self._store.create(key, claim.dump())
        except StoreConflictError:
            return await self._take_found(key, claim)
        return HeldClaim(key, claim, version)

    async def _take_found(self, key: str, claim: Claim) -> HeldClaim | Replay:
        stored = await self._store.read(key)
        if stored is None:
            raise StoreUnconfirmedError(Code.edit_unconfirmed, 'claim is gone')
        found = Claim.load(stored.body)
        age_s = self._wall_clock() - found.written_s
        decision = decide_claim(found, claim.nonce, claim.digest, age_s, OPEN_S)
        if decision.action is ClaimAction.replay:
            return Replay(found.status, found.body.encode())
        if decision.action is ClaimAction.refuse:
            raise RequestError(decision.code, '', RETRY_MS)
        if decision.action is ClaimAction.run:
            return HeldClaim(key, claim, stored.version)
        try:
            version = await self._store.replace(
                key,
                claim.dump(),
                stored.version,
            )
        except StoreConflictError as error:
            raise RequestError(
                Code.claim_in_progress,
                '',
                RETRY_MS,
            ) from error
        return HeldClaim(key, claim, version)

    async def _write_or_keep(self, held: HeldClaim) -> None:
        try:
            await self._write(held)
        except StoreConflictError:
            self._log.warn('A claim changed under its holder.', key=held.key)
        except StoreError:
            self._settle_later(held)

    async def _write(self, held: HeldClaim) -> None:
        """Write an outcome; find one's own claim by its nonce if need be."""
        version = held.version
        if not version:
            stored = await self._store.read(held.key)
            if stored is None:
                return
            if Claim.load(stored.body).nonce != held.claim.nonce:
                return
            version = stored.version
        await self._store.replace(held.key, held.claim.dump(), version)

    def _settle_later(self, held: HeldClaim) -> None:
        # A write whose confirmation was lost has changed the version, so the
        # repeat looks for the claim by its nonce.
        claim = held.claim
        if claim.state is ClaimState.open:
            claim = replace(claim, state=ClaimState.not_run)
        self._unsettled.append(HeldClaim(held.key, claim, 0))


def claim_key(call: Call) -> str:
    """Return the object that holds the claim of a call's key."""
    text = f'{call.workspace}\n{call.idempotency_key}'
    digest = hashlib.blake2b(
        text.encode(), digest_size=DIGEST_BYTES
    ).hexdigest()
    return f'{PREFIX}{digest}'


def _store_down(detail: str) -> RefusedError:
    return RefusedError(Code.claim_store_down, detail, RETRY_MS)
