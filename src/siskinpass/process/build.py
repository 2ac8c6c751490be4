"""Name the build that this process runs."""

from functools import lru_cache
from pathlib import Path

BUILD_FILE = Path(__file__).parent.parent / 'BUILD'
UNNAMED = 'development'


@lru_cache(maxsize=1)
def build_name() -> str:
    """Return the commit of this build, which ``deploy/build`` writes down.

    :returns: ``development`` where the sources were not built.
    """
    try:
        return BUILD_FILE.read_text().strip() or UNNAMED
    except OSError:
        return UNNAMED
