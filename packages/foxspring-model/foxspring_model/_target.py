"""Targets, the VMs that run requests and tasks, and entries."""

from typing import NamedTuple

from foxspring_model._resources import Resources


class TargetInfo(NamedTuple):
    """A target's announcement of itself.

    ``incarnation`` increases each time the target's process starts; ``address``
    is the ``host:port`` of its HTTP interface (docs/PLATFORM.md).
    """

    target_id: str
    incarnation: int
    address: str
    failure_domain: str
    rack: str
    capacity: Resources
    leaving: bool = False


class EntryInfo(NamedTuple):
    """An entry with the ``host:port`` addresses at which it is reachable."""

    entry_id: str
    incarnation: int
    link_address: str
    http_address: str
    failure_domain: str
    draining: bool = False


class OwnedTarget(NamedTuple):
    """A target with its owner, as distributed to every entry.

    ``owner_epoch`` increases with each change of owner. ``services`` names the
    services that have a running replica on the target.
    """

    info: TargetInfo
    owner: str
    owner_epoch: int
    services: tuple[str, ...] = ()
