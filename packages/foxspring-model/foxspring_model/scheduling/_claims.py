"""Claims on capacity that is being freed for tasks that fit on no target."""

from foxspring_model._resources import Resources
from foxspring_model.scheduling._placement import spread_cost
from foxspring_model.scheduling._records import TaskRecord
from foxspring_model.scheduling._site import Site
from foxspring_model.scheduling._target_table import TargetRecord
from foxspring_model.scheduling._victims import (
    EvictionTier,
    cheapest_first,
    eviction_cost,
    is_leaving,
    victims_for,
)

_ClaimCost = tuple[float, EvictionTier, int]
_PERCENT = 100


class Claims:
    """Claims of queued tasks on capacity that running tasks still use.

    Tasks are evicted for the claims of services and urgent tasks. A starved batch
    task claims a target without evictions and waits until tasks there have ended.

    A claim holds its size in addition to what the leaving tasks hold. The free
    capacity of the target is therefore negative until they have left, and no
    other task is placed there.
    """

    def __init__(self, site: Site) -> None:
        self._site = site
        self._claims: dict[str, int] = {}
        self._starved: set[str] = set()

    def __len__(self) -> int:
        return len(self._claims)

    def try_claim(
        self, record: TaskRecord, size: Resources, now_ms: int
    ) -> list[TaskRecord] | None:
        """Claim capacity on the cheapest of a few random targets.

        Returns the tasks to evict, or ``None`` if no target was found.
        """
        best = self._cheapest_target(record, size, now_ms)
        if best is None:
            return None
        target_id, victims = best
        self._add_claim(record, target_id, size, now_ms + self._site.settings.claim_ms)
        return victims

    def try_claim_for_starved(
        self, record: TaskRecord, size: Resources, now_ms: int
    ) -> bool:
        """Claim capacity for a starved task without evicting others.

        Returns whether a target was found; the number of such claims is limited.
        """
        settings, target_table = self._site.settings, self._site.target_table
        limit = max(
            1, target_table.announced_count * settings.starved_claim_percent // _PERCENT
        )
        if len(self._starved) >= limit:
            return False
        large_enough = [
            target
            for target in self._sample_targets(record)
            if target.info is not None and size.fits_in(target.info.capacity)
        ]
        if not large_enough:
            return False
        best = min(
            large_enough, key=lambda target: (len(target.tasks), target.target_id)
        )
        self._starved.add(record.task_id)
        self._add_claim(
            record, best.target_id, size, now_ms + settings.starved_claim_ms
        )
        return True

    def _add_claim(
        self, record: TaskRecord, target_id: str, size: Resources, until_ms: int
    ) -> None:
        self._site.task_table.claim(record, target_id, size, until_ms)
        self._claims[record.task_id] = until_ms

    def _drop(self, task_id: str) -> None:
        del self._claims[task_id]
        self._starved.discard(task_id)

    def _cheapest_target(
        self, record: TaskRecord, size: Resources, now_ms: int
    ) -> tuple[str, list[TaskRecord]] | None:
        best: tuple[str, list[TaskRecord]] | None = None
        lowest_cost: _ClaimCost | None = None
        target_table = self._site.target_table
        for target in self._sample_targets(record):
            available = target_table.available(target)
            victims = self._victims_on(target, available, size, now_ms)
            if victims is None:
                continue
            cost = (
                spread_cost(record.group, target, target_table),
                *self._victims_cost(victims, now_ms),
            )
            if lowest_cost is None or cost < lowest_cost:
                best, lowest_cost = (target.target_id, victims), cost
        return best

    def pop_ready(self, now_ms: int) -> list[TaskRecord]:
        """Remove the claims whose capacity is free and return their tasks.

        Claims that have expired or whose target was closed are released and
        their tasks are queued again.
        """
        ready = []
        task_table, target_table = self._site.task_table, self._site.target_table
        for task_id, until_ms in list(self._claims.items()):
            record = task_table.records.get(task_id)
            if record is None or record.claim_until_ms != until_ms:
                self._drop(task_id)
                continue
            target = target_table.get_or_create(record.target_id)
            if until_ms <= now_ms or not target.is_open:
                self._drop(task_id)
                task_table.release(record)
                task_table.waiting.add(record, now_ms)
            elif not target.free.is_negative():
                self._drop(task_id)
                ready.append(record)
        return ready

    def _sample_targets(self, record: TaskRecord) -> list[TargetRecord]:
        site = self._site
        names = site.target_table.sample(site.settings.claim_candidates)
        targets = [site.target_table.by_id[name] for name in names]
        fresh = [
            target
            for target in targets
            if target.target_id not in record.failed_targets
        ]
        return [target for target in fresh or targets if target.is_open]

    @staticmethod
    def _victims_on(
        target: TargetRecord, available: Resources, size: Resources, now_ms: int
    ) -> list[TaskRecord] | None:
        free = available
        records = []
        for record in target.tasks:
            if is_leaving(record, now_ms):
                free = free.plus(record.held)
            else:
                records.append(record)
        return victims_for(size, free, cheapest_first(records, now_ms))

    @staticmethod
    def _victims_cost(
        victims: list[TaskRecord], now_ms: int
    ) -> tuple[EvictionTier, int]:
        costs = [eviction_cost(record, now_ms) for record in victims]
        tier = max((cost[0] for cost in costs), default=EvictionTier.NORMAL)
        return tier, sum(cost[1] for cost in costs)
