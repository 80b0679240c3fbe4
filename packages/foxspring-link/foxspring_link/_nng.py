"""Imports pynng without asyncio, which its blocking sockets never use.

asyncio and its imports, including ssl, take about a sixth of a control daemon's
memory. An empty stand-in module replaces asyncio during the import, unless asyncio
or pynng is already loaded. pynng's ``arecv`` and ``asend`` must not be used.
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
