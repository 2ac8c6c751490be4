"""Records about prompt parts and requests that crash servers, in the store."""

import asyncio
import time
from collections.abc import Callable, Iterable
from dataclasses import replace

from siskinpass.platform.objects import StoredObject
from siskinpass.platform.part_records import (
    PARTS_KIND,
    PartRecord,
    decode_record,
    encode_record,
    record_name,
)
from siskinpass.process.blocked_parts import BlockedParts
from siskinpass.process.crash_evidence import BrokenRequest
from siskinpass.process.fleet.records import Records
from siskinpass.process.fleet.store_client import StoreClient
from siskinpass.process.logs import ComponentLog

MS_PER_S = 1000
# Delays before a request that a crash cut off is recorded, and recorded again.
RECORD_DELAY_S = 1.0
RECORD_AGAIN_S = 10.0
# Age at which the record of a request that a crash cut off has expired.
EVIDENCE_S = 600.0


class PartRecords:
    """Writer and reader of the records."""

    def __init__(self, store: StoreClient) -> None:
        self._records = Records(store, PARTS_KIND, ComponentLog('parts'))

    async def write_suspects(
        self,
        request: BrokenRequest,
        suspects: Callable[[BrokenRequest], tuple[str, ...]],
    ) -> None:
        """Record the parts of a request that may have crashed its server.

        Most of its parts are cleared soon, so that it is recorded a little
        later, and once more with what is left then.

        :param suspects: returns the parts of a request that are not cleared.
        """
        await asyncio.sleep(RECORD_DELAY_S)
        parts = suspects(request)
        if not parts:
            return
        await self.write(replace(request, parts=parts))
        await asyncio.sleep(RECORD_AGAIN_S)
        remaining = suspects(request)
        if not remaining:
            await self._records.remove(record_name(request))
        elif remaining != parts:
            await self.write(replace(request, parts=remaining))

    async def write(self, record: PartRecord) -> None:
        """Write a record to the store, until it has it."""
        await self._records.write_until_stored(
            record_name(record),
            encode_record(record),
            'Prompt parts are not recorded yet.',
        )

    def read(self, stored: StoredObject) -> Iterable[PartRecord]:
        """Return the record of an object; an expired one is removed."""
        record = self._records.read(stored, decode_record, _is_current)
        return () if record is None else (record,)


def _is_current(record: PartRecord) -> bool:
    now_s = time.time()
    if isinstance(record, BlockedParts):
        return record.is_current(now_s)
    return now_s - record.ended_ms / MS_PER_S < EVIDENCE_S
