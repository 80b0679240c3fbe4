"""Finds which of the harness's own processes own local ports."""

import os
import socket
import sys
from collections.abc import Callable, Iterable
from pathlib import Path

_LOCAL_ADDRESS_FIELD = 1
_STATE_FIELD = 3
_INODE_FIELD = 9
_LISTENING = "0A"
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


def is_listening(pid: int, address: str) -> bool:
    """Return whether the process ``pid`` itself listens on ``host:port``."""
    host, _, port = address.rpartition(":")
    # The kernel prints the address as one number in the machine's byte order.
    number = int.from_bytes(socket.inet_aton(host), sys.byteorder)
    local_address = f"{number:08X}:{int(port):04X}"
    listeners = {
        fields[_INODE_FIELD]
        for fields in _tcp_sockets()
        if fields[_STATE_FIELD] == _LISTENING
        and fields[_LOCAL_ADDRESS_FIELD] == local_address
    }
    return bool(pid and listeners & _socket_inodes(pid))


def _ports_of_inodes(ports: set[int]) -> dict[str, int]:
    wanted = {f"{_OUTGOING_HOST}:{port:04X}": port for port in ports}
    found = {}
    for fields in _tcp_sockets():
        port = wanted.get(fields[_LOCAL_ADDRESS_FIELD])
        if port is not None and fields[_INODE_FIELD] != _NO_INODE:
            found[fields[_INODE_FIELD]] = port
    return found


def _tcp_sockets() -> list[list[str]]:
    lines = Path("/proc/net/tcp").read_text().splitlines()[1:]
    return [line.split() for line in lines]


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
