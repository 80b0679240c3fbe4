"""Keeps the garbage collector from walking the whole state again and again.

Load pattern: thousands of jobs and tasks are kept, and each second thousands of short-
lived objects are made beside them. With the interpreter's own thresholds, a full
collection follows each growth by a quarter and visits every object of the state.
Objects without cycles are freed by reference counts at once, in any case.
"""

import gc

# Allocations, less deallocations, that start a collection of the youngest objects.
YOUNG_ALLOCATIONS = 20_000
# Collections of one generation that start one of the next.
COLLECTIONS_PER_GENERATION = 1_000


def limit_garbage_collection() -> None:
    """Collect young objects often enough to bound memory, and all others rarely."""
    gc.set_threshold(
        YOUNG_ALLOCATIONS, COLLECTIONS_PER_GENERATION, COLLECTIONS_PER_GENERATION
    )
