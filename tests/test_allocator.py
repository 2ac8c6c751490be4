"""Test that memory of bodies is returned to the system."""

import subprocess
import sys

BLOCK_BYTES = 100_000
BLOCKS = 1_000
MOST_KB = 60_000  # the interpreter, and what is still referred to
# Grows blocks side by side, frees every other one, and takes larger ones then,
# as bodies of many callers do; prints the memory that is left in the end.
GROWTH = f"""
from pathlib import Path
from siskinpass.process.allocator import return_large_blocks

assert return_large_blocks()
freed = bytearray(8 * {BLOCK_BYTES})
del freed
blocks = [bytearray() for _ in range({BLOCKS})]
for _ in range(10):
    for block in blocks:
        block += bytes({BLOCK_BYTES} // 10)
kept = blocks[::2]
del blocks, block
for block in kept:
    block += bytes(7 * {BLOCK_BYTES})
del kept[1:]
status = Path('/proc/self/status').read_text()
print(status.partition('VmRSS:')[2].split()[0])
"""


def test_freed_bodies_leave_no_holes():
    """Guards against a heap several times as large as what is held."""
    ran = subprocess.run(
        [sys.executable, '-c', GROWTH],
        check=True,
        capture_output=True,
        text=True,
    )
    assert int(ran.stdout) < MOST_KB
