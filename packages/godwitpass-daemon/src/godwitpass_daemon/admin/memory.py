"""Returns freed heap memory to the operating system."""

import ctypes


def release_freed_memory() -> bool:
    """Ask the C allocator to return unused memory; return whether it released any."""
    library = ctypes.CDLL(None)
    if not hasattr(library, "malloc_trim"):
        return False
    return bool(library.malloc_trim(0))
