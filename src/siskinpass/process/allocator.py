"""Return the memory of large blocks to the system as soon as they are freed."""

import ctypes

M_MMAP_THRESHOLD = -3  # option of ``mallopt`` in ``malloc.h``
# Above what an ordinary request or answer takes at a time.
LARGE_BLOCK_BYTES = 65_536


def return_large_blocks() -> bool:
    """Let the C library map blocks of ``LARGE_BLOCK_BYTES`` or more one by one.

    Otherwise glibc raises this size as large blocks are freed, and takes them
    from its heap. Bodies of many callers that grow side by side leave holes
    there, and the process needs several times what it holds.

    :returns: whether the C library has this option.
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (AttributeError, OSError):
        return False
    return mallopt(M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES) == 1
