"""Settings files of the daemons of a site on loopback."""

import configparser
from pathlib import Path
from typing import NamedTuple

LINK_SECRET = "loopback-link-secret-0001"
CALLER_TOKEN = "loopback-caller-token-0001"
OPERATOR_TOKEN = "loopback-operator-token-0001"
SECOND_OPERATOR_TOKEN = "loopback-operator-token-0002"
TARGET_TOKEN = "loopback-target-token-0001"


class SiteSize(NamedTuple):
    """Number of processes of each role in a site.

    ``proxied`` puts the fault network in front of every address that the
    site's processes advertise to each other.
    """

    controls: int = 3
    entries: int = 2
    targets: int = 4
    proxied: bool = False
    failure_domains: int = 3
    drain_grace_ms: int = 500


class DaemonAddresses(NamedTuple):
    """The addresses a daemon listens on and those it advertises to others."""

    daemon_id: str
    role: str
    failure_domain: str
    link: str
    link_advertised: str
    http: str = ""
    http_advertised: str = ""


def write_daemon_settings(
    path: Path,
    daemon: DaemonAddresses,
    controls: list[DaemonAddresses],
    data_folder: Path,
    size: SiteSize,
) -> None:
    """Write the INI file of one daemon."""
    parser = configparser.ConfigParser(interpolation=None)
    parser["daemon"] = {
        "role": daemon.role,
        "id": daemon.daemon_id,
        "failure_domain": daemon.failure_domain,
    }
    parser["link"] = {"listen": daemon.link, "secret": LINK_SECRET}
    if daemon.link_advertised != daemon.link:
        parser["link"]["advertise"] = daemon.link_advertised
    members = [
        f"{control.daemon_id}={control.link_advertised}/{control.failure_domain}"
        for control in controls
    ]
    parser["control"] = {"members": ", ".join(members)}
    if daemon.role == "control":
        parser["daemon"]["data_folder"] = str(data_folder)
    else:
        _add_entry_sections(parser, daemon, size)
    with path.open("w") as file:
        parser.write(file)


def _add_entry_sections(
    parser: configparser.ConfigParser, daemon: DaemonAddresses, size: SiteSize
) -> None:
    parser["entry"] = {
        "http_listen": daemon.http,
        "drain_grace_ms": str(size.drain_grace_ms),
    }
    parser["callers"] = {"caller": CALLER_TOKEN}
    parser["operators"] = {"ana": OPERATOR_TOKEN, "bo": SECOND_OPERATOR_TOKEN}
    parser["targets"] = {"target": TARGET_TOKEN}
