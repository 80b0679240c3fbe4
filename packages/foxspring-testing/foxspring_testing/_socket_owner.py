"""Finds which of our own processes owns a local port."""

import os
from collections.abc import Callable, Iterable
from pathlib import Path

_LOCAL_ADDRESS_FIELD = 1
_INODE_FIELD = 9


def owner_of_port(port: int, processes: Iterable[tuple[str, int]]) -> str:
    """Return the name of the process that holds ``port``, or an empty string.

    ``processes`` holds the name and pid of each process that may own it.
    """
    inodes = _inodes_of_port(port)
    for name, pid in processes:
        if pid and inodes & _socket_inodes(pid):
            return name
    return ""


def source_finder(
    processes: Callable[[], Iterable[tuple[str, int]]],
) -> Callable[[int], str]:
    """Return a function from a local port to the name of its process."""
    return lambda port: owner_of_port(port, processes())


def _inodes_of_port(port: int) -> set[str]:
    suffix = f":{port:04X}"
    lines = Path("/proc/net/tcp").read_text().splitlines()[1:]
    fields = [line.split() for line in lines]
    return {
        each[_INODE_FIELD]
        for each in fields
        if each[_LOCAL_ADDRESS_FIELD].endswith(suffix)
    }


def _socket_inodes(pid: int) -> set[str]:
    folder = f"/proc/{pid}/fd"
    found = set()
    try:
        for name in os.listdir(folder):
            link = os.readlink(f"{folder}/{name}")
            if link.startswith("socket:["):
                found.add(link[len("socket:[") : -1])
    except OSError:
        return found
    return found
