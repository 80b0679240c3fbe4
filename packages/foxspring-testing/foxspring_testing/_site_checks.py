"""Checks of all invariants over the records of a site's run."""

import re
from collections.abc import Sequence
from typing import NamedTuple

from foxspring_model import Invariant, Resources

from foxspring_testing._caller_checks import (
    Outage,
    PlannedStop,
    check_at_most_once,
    check_not_run,
    check_planned_stops,
    check_whole_answers,
)
from foxspring_testing._check_result import CheckResult
from foxspring_testing._clients import CallerRecord
from foxspring_testing._site import Site
from foxspring_testing._target_checks import (
    check_capacity,
    check_leaving,
    check_one_place,
    check_resume_once,
)

_VIOLATION = re.compile(r"event=invariant_violated invariant=(\w+)(.*)")


class SiteRecords(NamedTuple):
    """Records of a run other than the targets' own events."""

    caller_records: Sequence[CallerRecord] = ()
    stops: Sequence[PlannedStop] = ()
    outages: Sequence[Outage] = ()


def check_site(site: Site, records: SiteRecords) -> list[CheckResult]:
    """Check the invariants that any site can be checked for.

    Revisions, jobs and unanswered requests are checked separately.
    """
    events = site.events()
    capacities = {
        name: Resources(**settings.capacity())
        for name, settings in site.targets.items()
    }
    return [
        check_capacity(events, capacities),
        check_one_place(events),
        check_resume_once(events),
        check_whole_answers(records.caller_records, events),
        check_not_run(records.caller_records, events),
        check_at_most_once(records.caller_records, events),
        check_leaving(events),
        check_planned_stops(records.caller_records, records.stops, records.outages),
    ]


def logged_violations(site: Site) -> list[CheckResult]:
    """Return the violations that the daemons detected and logged themselves."""
    found: dict[str, list[str]] = {}
    for name in site.daemons:
        for match in _VIOLATION.finditer(site.log(name)):
            line = f"{name}:{match.group(2).strip()}"
            found.setdefault(match.group(1), []).append(line)
    return [
        CheckResult(Invariant(invariant), len(lines), tuple(lines))
        for invariant, lines in sorted(found.items())
    ]
