"""Settings of a stand-in target, stored in the [target] section of an INI file."""

import configparser
from pathlib import Path
from typing import NamedTuple

import msgspec
from foxspring_model import ResourcesBody

_SECTION = "target"


class StandInSettings(NamedTuple):
    """A stand-in target's identity, addresses, capacity and intervals.

    ``address`` serves the platform's API and ``control_address`` the tests' own
    API; ``advertised_address`` is announced instead of ``address`` if it is set
    (for example, the address of a fault proxy). ``entries`` are ``host:port``
    separated by blanks. ``events`` is the file to which every run is written.
    Times are milliseconds.
    """

    target_id: str
    address: str
    control_address: str
    entries: str
    token: str
    events: str
    incarnation: int = 1
    advertised_address: str = ""
    failure_domain: str = "fd-1"
    rack: str = "rack-1"
    slots: int = 8
    connections: int = 64
    cores_milli: int = 64_000
    memory_mb: int = 250_000
    accelerators: int = 0
    clock_offset_ms: int = 7_000_000
    announce_ms: int = 1_000
    report_ms: int = 500

    def capacity(self) -> ResourcesBody:
        """Return the target's capacity."""
        return ResourcesBody(
            slots=self.slots,
            connections=self.connections,
            cores_milli=self.cores_milli,
            memory_mb=self.memory_mb,
            accelerators=self.accelerators,
        )


def read_standin_settings(path: Path) -> StandInSettings:
    """Read settings from an INI file.

    Raises:
        ValueError: a key is missing, unknown or of the wrong type.
    """
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_string(path.read_text(), source=str(path))
    values = dict(parser[_SECTION])
    unknown = sorted(set(values) - set(StandInSettings._fields))
    if unknown:
        raise ValueError(f"{path}: [{_SECTION}] has unknown keys {unknown}")
    try:
        return msgspec.convert(
            tuple(
                values.get(name, StandInSettings._field_defaults.get(name))
                for name in StandInSettings._fields
            ),
            StandInSettings,
            strict=False,
        )
    except msgspec.ValidationError as error:
        raise ValueError(f"{path}: [{_SECTION}]: {error}") from error


def write_standin_settings(path: Path, settings: StandInSettings) -> None:
    """Write settings in the format that :func:`read_standin_settings` reads."""
    parser = configparser.ConfigParser(interpolation=None)
    parser[_SECTION] = {name: str(value) for name, value in settings._asdict().items()}
    with path.open("w") as file:
        parser.write(file)
