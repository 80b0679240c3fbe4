"""Executes the steps of a schedule on a site."""

import logging
import threading
import time
from collections.abc import Sequence
from typing import Any

from foxspring_testing._caller_checks import Outage, PlannedStop
from foxspring_testing._fault_network import ANY_PROCESS
from foxspring_testing._schedule import FaultKind, Step
from foxspring_testing._site import Site
from foxspring_testing._wait import NotReachedError

_LOG = logging.getLogger(__name__)
_CUT_AFTER_BYTES = 30
_BEHAVIOURS: dict[FaultKind, dict[str, Any]] = {
    FaultKind.HANG: {"hang": True},
    FaultKind.CUT_ANSWERS: {"cut_answer_after": _CUT_AFTER_BYTES},
    FaultKind.DOUBLE_ANSWERS: {"answer_twice": True},
    FaultKind.FAIL_TASKS: {"fail_tasks": True},
    FaultKind.LEAVE: {"leaving": True},
}


class ScheduleRunner:
    """Starts and ends steps on schedule; :meth:`clear_faults` ends remaining faults."""

    def __init__(self, site: Site, steps: Sequence[Step]) -> None:
        self.site = site
        self.steps = tuple(steps)
        self.stops: list[PlannedStop] = []
        self.failed_stops: list[str] = []
        self.outages: list[Outage] = []
        self._faulted: set[str] = set()
        self._threads: list[threading.Thread] = []

    def run(self) -> None:
        """Execute all steps and wait until the last one has ended."""
        started = time.monotonic()
        for step in self.steps:
            time.sleep(max(0.0, started + step.at_s - time.monotonic()))
            thread = threading.Thread(target=self._run_step, args=(step,))
            thread.start()
            self._threads.append(thread)
        for thread in self._threads:
            thread.join()

    def clear_faults(self) -> None:
        """Remove every fault and start every process that is down."""
        if self.site.network is not None:
            self.site.network.clear_faults()
        for name, process in self.site.processes.items():
            if process.paused:
                self.site.resume(name)
            self.site.start(name)
        self.site.wait_ready()
        for name in self.site.targets:
            self.site.set_behaviour(name)

    def _run_step(self, step: Step) -> None:
        # A process has at most one fault at a time; overlapping steps are skipped.
        if step.name in self._faulted:
            return
        self._faulted.add(step.name)
        started_ms = self.site.clock.monotonic_ms()
        _LOG.info("event=fault_begun step=%r", step.line())
        try:
            self._begin(step)
            if step.kind is not FaultKind.PLANNED_RESTART:
                time.sleep(step.for_s)
            self._end(step)
        except (OSError, NotReachedError) as error:
            _LOG.warning("event=step_failed step=%r reason=%r", step.line(), error)
        finally:
            self._record_outage(step, started_ms)
            self._faulted.discard(step.name)

    def _record_outage(self, step: Step, started_ms: int) -> None:
        ended_ms = self.site.clock.monotonic_ms()
        if step.name in self.site.targets:
            self.outages.append(Outage(step.name, started_ms, ended_ms))
            return
        daemon = self.site.daemons.get(step.name)
        if daemon is not None and step.kind in (FaultKind.KILL, FaultKind.PAUSE):
            self.outages.append(Outage(daemon.http, started_ms, ended_ms))

    def _begin(self, step: Step) -> None:
        network = self.site.network
        if step.kind is FaultKind.KILL:
            self.site.kill(step.name)
        elif step.kind is FaultKind.PAUSE:
            self.site.pause(step.name)
        elif step.kind is FaultKind.PLANNED_RESTART:
            self._planned_stop(step.name)
        elif step.kind in _BEHAVIOURS:
            self.site.set_behaviour(step.name, **_BEHAVIOURS[step.kind])
        elif network is None:
            return
        elif step.kind is FaultKind.SILENCE:
            network.drop_open_connections(step.name, ANY_PROCESS)
            network.drop_open_connections(ANY_PROCESS, step.name)
        elif step.kind is FaultKind.RESET:
            network.reset(step.name, ANY_PROCESS)
            network.reset(ANY_PROCESS, step.name)
        else:
            both = step.kind is FaultKind.PARTITION
            network.partition({step.name}, set(self.site.processes), both)

    def _end(self, step: Step) -> None:
        if step.kind in (FaultKind.KILL, FaultKind.PLANNED_RESTART):
            self.site.start(step.name)
        elif step.kind is FaultKind.PAUSE:
            self.site.resume(step.name)
        elif step.kind in _BEHAVIOURS:
            self.site.set_behaviour(step.name)
        elif self.site.network is not None:
            self.site.network.clear_faults_of(step.name)

    def _planned_stop(self, name: str) -> None:
        address = self.site.daemons[name].http
        started_ms = self.site.clock.monotonic_ms()
        if not self.site.stop(name):
            self.failed_stops.append(name)
        ended_ms = self.site.clock.monotonic_ms()
        self.stops.append(PlannedStop(address, started_ms, ended_ms))
