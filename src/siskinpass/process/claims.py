"""Claims in the object store, so that a request runs at most once per key."""

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

# Age up to which the request of an open claim may still be running. The outcome
# of an older one counts as unknown.
OPEN_CLAIM_S = 60.0
EXPIRY_S = 86_400.0  # age above which claims are deleted
WRITE_RETRY_S = 1.0  # time between retries of failed writes
EXPIRY_INTERVAL_S = 600.0
RETRY_AFTER_MS = 1000  # delay before a retry that a refusal asks for
MAX_UNSETTLED = 2000  # failed writes kept for a retry; the oldest are dropped
# Attempts to create a claim if the outcome of each one stays unknown.
CREATE_ATTEMPTS = 3
PREFIX = 'claims/'
DIGEST_BYTES = 16


@dataclass(frozen=True, slots=True)
class HeldClaim:
    """A claim that allows its request to run.

    :param key: key of the claim object in the store.
    :param version: store's version of the object, 0 where unknown.
    """

    key: str
    claim: Claim
    version: int


@dataclass(frozen=True, slots=True)
class Replay:
    """Stored response of an earlier request with the same idempotency key."""

    status: int
    body: bytes


class Lease(Protocol):
    """A lease that this instance may hold."""

    @property
    def fence(self) -> int | None:
        """Return the fencing number, or None if the lease is not held."""


class Claims:
    """Acquires and settles claims, and deletes expired ones."""

    def __init__(
        self,
        store: Store,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        """Start without claims.

        :param wall_clock: returns Unix time in seconds, as claims are read by
            other instances.
        """
        self._store = store
        self._wall_clock = wall_clock
        self._unsettled: deque[HeldClaim] = deque(maxlen=MAX_UNSETTLED)
        self._log = ComponentLog('claim')

    @property
    def unsettled(self) -> int:
        """Return the number of failed writes that wait for a retry."""
        return len(self._unsettled)

    async def acquire(self, call: Call) -> HeldClaim | Replay:
        """Claim a call by its idempotency key.

        :returns: the claim under which the call may run, or the stored response
            if it already ran.
        :raises RefusedError: if the store is unreachable; the call did not run.
        :raises RequestError: if another request has claimed the key; its code
            gives the reason.
        """
        key = claim_key(call)
        claim = Claim(
            secrets.token_hex(8),
            call.digest,
            ClaimState.open,
            self._wall_clock(),
        )
        for _ in range(CREATE_ATTEMPTS):
            try:
                return await self._try_acquire(key, claim)
            except StoreUnconfirmedError:
                continue
            except StoreError as error:
                raise _store_down(str(error)) from error
        self._queue_write(HeldClaim(key, claim, 0))
        raise _store_down('the claim could not be confirmed')

    async def settle(
        self,
        held: HeldClaim,
        state: ClaimState,
        status: int = 0,
        body: bytes = b'',
    ) -> None:
        """Write the outcome of a claimed request.

        A failed write is retried in the background, unless the stored claim has
        changed.

        :param status: HTTP status of the response, 0 for none.
        :param body: body of the response; one above the limit is not stored,
            and neither is its status.
        """
        if len(body) > MAX_STORED_BODY_BYTES:
            status, body = 0, b''
        settled = replace(
            held.claim,
            state=state,
            status=status,
            body=body.decode(errors='replace'),
        )
        await self._write_or_queue(replace(held, claim=settled))

    async def run(self) -> None:
        """Retry failed writes until cancelled."""
        while True:
            await asyncio.sleep(WRITE_RETRY_S)
            waiting = tuple(self._unsettled)
            self._unsettled.clear()
            for held in waiting:
                await self._write_or_queue(held)

    async def run_expiry(self, lease: Lease) -> None:
        """Delete expired claims periodically, only while the lease is held."""
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            if lease.fence is None:
                continue
            with suppress(StoreError):
                removed = await self.delete_expired()
                self._log.note('Deleted expired claims.', removed=removed)

    async def delete_expired(self) -> int:
        """Delete expired claims and return their number."""
        removed = 0
        for key in await self._store.list_keys(PREFIX):
            stored = await self._store.read(key)
            if stored is None:
                continue
            age_s = self._wall_clock() - Claim.load(stored.body).written_s
            if age_s > EXPIRY_S:
                await self._store.delete(key, stored.version)
                removed += 1
        return removed

    async def _try_acquire(self, key: str, claim: Claim) -> HeldClaim | Replay:
        try:
            version = await self._store.create(key, claim.dump())
        except StoreConflictError:
            return await self._handle_existing(key, claim)
        return HeldClaim(key, claim, version)

    async def _handle_existing(
        self, key: str, claim: Claim
    ) -> HeldClaim | Replay:
        stored = await self._store.read(key)
        if stored is None:
            # It was deleted in the meantime; acquire() tries again.
            raise StoreUnconfirmedError(
                Code.edit_unconfirmed, 'claim not found'
            )
        found = Claim.load(stored.body)
        age_s = self._wall_clock() - found.written_s
        decision = decide_claim(
            found, claim.nonce, claim.digest, age_s, OPEN_CLAIM_S
        )
        if decision.action is ClaimAction.replay:
            return Replay(found.status, found.body.encode())
        if decision.action is ClaimAction.refuse:
            raise RequestError(decision.code, '', RETRY_AFTER_MS)
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
                RETRY_AFTER_MS,
            ) from error
        return HeldClaim(key, claim, version)

    async def _write_or_queue(self, held: HeldClaim) -> None:
        try:
            await self._write(held)
        except StoreConflictError:
            self._log.warn(
                'A claim changed before its outcome was written.', key=held.key
            )
        except StoreError:
            self._queue_write(held)

    async def _write(self, held: HeldClaim) -> None:
        """Write an outcome.

        If the version is unknown, the stored claim is replaced only if it has
        the nonce of this claim.
        """
        version = held.version
        if not version:
            stored = await self._store.read(held.key)
            if stored is None:
                return
            if Claim.load(stored.body).nonce != held.claim.nonce:
                return
            version = stored.version
        await self._store.replace(held.key, held.claim.dump(), version)

    def _queue_write(self, held: HeldClaim) -> None:
        # An unconfirmed write may have changed the version, so the retry
        # identifies the claim by its nonce. A claim that is still open was not
        # confirmed, so its request was refused without running.
        claim = held.claim
        if claim.state is ClaimState.open:
            claim = replace(claim, state=ClaimState.not_run)
        self._unsettled.append(HeldClaim(held.key, claim, 0))


def claim_key(call: Call) -> str:
    """Return the key of the claim object for a call.

    It is a hash of the workspace and the call's idempotency key.
    """
    text = f'{call.workspace}\n{call.idempotency_key}'
    digest = hashlib.blake2b(
        text.encode(), digest_size=DIGEST_BYTES
    ).hexdigest()
    return f'{PREFIX}{digest}'


def _store_down(detail: str) -> RefusedError:
    return RefusedError(Code.claim_store_down, detail, RETRY_AFTER_MS)
