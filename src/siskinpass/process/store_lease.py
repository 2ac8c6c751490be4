"""Acquire and renew a lease in the object store."""

import asyncio

from siskinpass.exceptions import StoreError
from siskinpass.process.lease import LeaseLogic, LeaseRecord
from siskinpass.process.logs import ComponentLog
from siskinpass.process.store import Store

STATUS_LEASE_KEY = 'leases/status'
LEASE_LENGTH_S = 6.0
MARGIN_S = 1.5  # time before its end from which the lease is not relied on
RENEWAL_INTERVAL_S = 2.0


class StoreLease:
    """One lease in the object store, which this instance tries to hold."""

    def __init__(self, store: Store, key: str, own: str) -> None:
        """Start without the lease.

        :param key: key of the lease object.
        :param own: identifies this instance and its incarnation as the holder.
        """
        self._store = store
        self._key = key
        self._logic = LeaseLogic(own, LEASE_LENGTH_S, MARGIN_S)
        self._loop = asyncio.get_running_loop()
        self._log = ComponentLog('lease')

    @property
    def fence(self) -> int | None:
        """Return the fencing number, or None if the lease is not held."""
        return self._logic.fence(self._loop.time())

    async def run(self) -> None:
        """Acquire and renew the lease until cancelled."""
        while True:
            try:
                await self._step()
            except StoreError:
                self._logic.write_failed()
            await asyncio.sleep(RENEWAL_INTERVAL_S)

    async def _step(self) -> None:
        was_held = self.fence is not None
        if not was_held:
            stored = await self._store.read(self._key)
            record = LeaseRecord.load(stored.body) if stored else None
            version = stored.version if stored else 0
            self._logic.observe(record, version, self._loop.time())
        write = self._logic.next_write(self._loop.time())
        if write is None:
            return
        body = write.record.dump()
        if write.version == 0:
            version = await self._store.create(self._key, body)
        else:
            version = await self._store.replace(
                self._key,
                body,
                write.version,
            )
        self._logic.write_confirmed(write, version)
        if not was_held:
            self._log.note('Acquired a lease.', fence=write.record.fence)
