"""Return of freed memory to the system."""

import ctypes


def release_freed_memory() -> bool:
    """Let the C library give back what it keeps for later; tell whether it can."""
    library = ctypes.CDLL(None)
    if not hasattr(library, "malloc_trim"):
        return False
    return bool(library.malloc_trim(0))
