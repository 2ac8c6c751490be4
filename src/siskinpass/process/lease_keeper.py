"""Keep one lease in the object store."""

import asyncio

from siskinpass.exceptions import StoreError
from siskinpass.process.lease import LeaseLogic, LeaseRecord
from siskinpass.process.logs import ComponentLog
from siskinpass.process.store import Store

LEASE = 'leases/status'
LEASE_S = 6.0
MARGIN_S = 1.5
LEASE_EVERY_S = 2.0


class LeaseKeeper:
    """Keep trying for one lease in the object store."""

    def __init__(self, store: Store, key: str, own: str) -> None:
        """Start without the lease."""
        self._store = store
        self._key = key
        self._logic = LeaseLogic(own, LEASE_S, MARGIN_S)
        self._loop = asyncio.get_running_loop()
        self._log = ComponentLog('lease')

    @property
    def fence(self) -> int | None:
        """Return the fencing number while the lease is held."""
        return self._logic.fence(self._loop.time())

    async def run(self) -> None:
        """Take, renew or wait for the lease for ever."""
        while True:
            try:
                await self._step()
            except StoreError:
                self._logic.failed()
            await asyncio.sleep(LEASE_EVERY_S)

    async def _step(self) -> None:
        held = self.fence is not None
        if not held:
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
        self._logic.written(write, version)
        if not held:
            self._log.note('Took a lease.', fence=write.record.fence)
