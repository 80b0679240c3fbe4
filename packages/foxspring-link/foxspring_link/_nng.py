"""Imports pynng without asyncio, which its blocking sockets never use.

asyncio and what it imports (ssl among it) would take about a sixth of a control
daemon's memory. A module that is already loaded is left as it is; pynng's
``arecv`` and ``asend`` must not be used.
"""

import sys
import types
from typing import Any


def _import_pynng() -> Any:
    if "asyncio" in sys.modules or "pynng" in sys.modules:
        import pynng

        return pynng
    sys.modules["asyncio"] = types.ModuleType("asyncio")
    try:
        import pynng
    finally:
        del sys.modules["asyncio"]
    return pynng


pynng = _import_pynng()
