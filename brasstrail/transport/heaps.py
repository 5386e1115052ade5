"""How the C library returns freed memory to the operating system."""

import contextlib
import ctypes

# Parameters of `mallopt`, and their values: the defaults, which the C library otherwise
# raises with each large block that is freed. Processes kept 80 MB after answers of
# 1 MB each.
M_TRIM_THRESHOLD = -1
M_MMAP_THRESHOLD = -3
THRESHOLD_BYTES = 128 * 1024


def load_library():
    """Return the C library."""
    return ctypes.CDLL(None)


def return_freed_blocks():
    """Make the C library return large blocks as soon as they are freed."""
    with contextlib.suppress(OSError, AttributeError):
        library = load_library()
        library.mallopt(M_MMAP_THRESHOLD, THRESHOLD_BYTES)
        library.mallopt(M_TRIM_THRESHOLD, THRESHOLD_BYTES)


def trim():
    """Return the free pages of the heap."""
    with contextlib.suppress(OSError, AttributeError):
        load_library().malloc_trim(0)
