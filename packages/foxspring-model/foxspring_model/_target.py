"""Targets: the VMs that run requests and tasks."""

from typing import NamedTuple

from foxspring_model._resources import Resources


class TargetInfo(NamedTuple):
    """What a target announces of itself.

    ``incarnation`` grows each time the target's process starts; ``address``
    is ``host:port`` of its HTTP surface (docs/PLATFORM.md).
    """

    target_id: str
    incarnation: int
    address: str
    failure_domain: str
    rack: str
    capacity: Resources
    leaving: bool = False


class EntryInfo(NamedTuple):
    """An entry as the others reach it; addresses are ``host:port``."""

    entry_id: str
    incarnation: int
    link_address: str
    http_address: str
    failure_domain: str
    draining: bool = False


class OwnedTarget(NamedTuple):
    """A target with its owner, as every entry is told.

    ``owner_epoch`` grows with each change of owner. ``services`` names the
    services that have a running replica there.
    """

    info: TargetInfo
    owner: str
    owner_epoch: int
    services: tuple[str, ...] = ()
