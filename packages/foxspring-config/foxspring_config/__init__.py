"""Library for operators, and validation of configuration and settings.

Operators build a configuration with :func:`team`, :func:`service`,
:func:`weights` and ``Configuration`` and format it with
:func:`print_configuration`; the daemon parses it with
:func:`parse_configuration`. Both share the same validation.
"""

from foxspring_config._configuration_text import (
    parse_configuration,
    print_configuration,
    service,
    team,
    weights,
)
from foxspring_config._job_text import JobBody, parse_job, print_job
from foxspring_config._section import ConfigurationError
from foxspring_config._settings import (
    ControlSection,
    DaemonRole,
    DaemonSection,
    EntrySection,
    LinkSection,
    LogLevel,
    MemberEntry,
    Settings,
    TokenEntry,
    load_settings,
    parse_settings,
)
from foxspring_config._settings_page import settings_page

__all__ = [
    "ConfigurationError",
    "ControlSection",
    "DaemonRole",
    "DaemonSection",
    "EntrySection",
    "JobBody",
    "LinkSection",
    "LogLevel",
    "MemberEntry",
    "Settings",
    "TokenEntry",
    "load_settings",
    "parse_configuration",
    "parse_job",
    "parse_settings",
    "print_configuration",
    "print_job",
    "service",
    "settings_page",
    "team",
    "weights",
]
