"""Settings of a stand-in target, as an INI file with one section [target]."""

import configparser
from pathlib import Path
from typing import NamedTuple

import msgspec
from foxspring_model import ResourcesBody

_SECTION = "target"


class StandInSettings(NamedTuple):
    """A stand-in's identity, addresses, size and schedule.

    ``address`` is the platform surface, ``control_address`` the tests' own
    surface; ``advertised_address`` is what is announced (a fault proxy's, say).
    ``entries`` are ``host:port`` divided by blanks. ``events`` is the file that
    every run is written to. Times are milliseconds.
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
        """Return what the target has."""
        return ResourcesBody(
            slots=self.slots,
            connections=self.connections,
            cores_milli=self.cores_milli,
            memory_mb=self.memory_mb,
            accelerators=self.accelerators,
        )


def read_standin_settings(path: Path) -> StandInSettings:
    """Return the settings of an INI file.

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
    """Write settings as the INI file that is read back."""
    parser = configparser.ConfigParser(interpolation=None)
    parser[_SECTION] = {name: str(value) for name, value in settings._asdict().items()}
    with path.open("w") as file:
        parser.write(file)
