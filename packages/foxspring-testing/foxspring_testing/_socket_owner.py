"""Finds which of the harness's own processes own local ports."""

import os
from collections.abc import Callable, Iterable
from pathlib import Path

_LOCAL_ADDRESS_FIELD = 1
_INODE_FIELD = 9
_NO_INODE = "0"
_OUTGOING_HOST = "0100007F"

FindOwners = Callable[[set[int]], dict[int, str]]


def owners_of_ports(
    ports: set[int], processes: Iterable[tuple[str, int]]
) -> dict[int, str]:
    """Return the name of the process that owns each port of 127.0.0.1.

    ``processes`` are the names and process ids of the candidates. Ports that
    none of them owns are left out.
    """
    ports_of_inodes = _ports_of_inodes(ports)
    owners: dict[int, str] = {}
    for name, pid in processes:
        if len(owners) == len(ports_of_inodes):
            break
        for inode in _socket_inodes(pid) if pid else ():
            port = ports_of_inodes.get(inode)
            if port is not None:
                owners[port] = name
    return owners


def owner_finder(processes: Callable[[], Iterable[tuple[str, int]]]) -> FindOwners:
    """Return a function that maps local ports to the names of their owners."""
    return lambda ports: owners_of_ports(ports, processes())


def _ports_of_inodes(ports: set[int]) -> dict[str, int]:
    wanted = {f"{_OUTGOING_HOST}:{port:04X}": port for port in ports}
    found = {}
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        port = wanted.get(fields[_LOCAL_ADDRESS_FIELD])
        if port is not None and fields[_INODE_FIELD] != _NO_INODE:
            found[fields[_INODE_FIELD]] = port
    return found


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
