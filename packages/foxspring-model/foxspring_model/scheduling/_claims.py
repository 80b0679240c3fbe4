"""Room that is being freed for tasks that a full site has no room for."""

from foxspring_model._resources import Resources
from foxspring_model.scheduling._placing import spread_cost
from foxspring_model.scheduling._records import TaskRecord
from foxspring_model.scheduling._rooms import Room
from foxspring_model.scheduling._site import Site
from foxspring_model.scheduling._victims import (
    Standing,
    cheapest_first,
    eviction_cost,
    is_leaving,
    victims_for,
)

_Price = tuple[float, Standing, int]
_PERCENT = 100


class Claims:
    """Tasks that hold a place which others are leaving.

    Others are evicted for services and urgent tasks. A batch task that is too
    large for what falls free elsewhere waits for others to end by themselves.

    A claim holds its size beside the victims', so the target's free room is
    negative until they have left and nothing else is placed there.
    """

    def __init__(self, site: Site) -> None:
        self._site = site
        self._claims: dict[str, int] = {}
        self._patient: set[str] = set()

    def __len__(self) -> int:
        return len(self._claims)

    def try_claim(
        self, record: TaskRecord, size: Resources, now_ms: int
    ) -> list[TaskRecord] | None:
        """Claim the cheapest place of a few random targets.

        Returns the tasks to evict for it, or ``None`` when no place was found.
        """
        best = self._cheapest(record, size, now_ms)
        if best is None:
            return None
        target_id, victims = best
        self._hold(record, target_id, size, now_ms + self._site.settings.claim_ms)
        return victims

    def try_wait(self, record: TaskRecord, size: Resources, now_ms: int) -> bool:
        """Let a target run empty for a task that has waited for too long.

        Tells whether a place was found; few may be held like this at once.
        """
        settings, rooms = self._site.settings, self._site.rooms
        most = max(1, rooms.known * settings.patient_share // _PERCENT)
        if len(self._patient) >= most:
            return False
        able = [
            room
            for room in self._some_rooms(record)
            if room.info is not None and size.fits_in(room.info.capacity)
        ]
        if not able:
            return False
        best = min(able, key=lambda room: (len(room.tasks), room.target_id))
        self._patient.add(record.task_id)
        self._hold(record, best.target_id, size, now_ms + settings.patient_ms)
        return True

    def _hold(
        self, record: TaskRecord, target_id: str, size: Resources, until_ms: int
    ) -> None:
        self._site.book.claim(record, target_id, size, until_ms)
        self._claims[record.task_id] = until_ms

    def _drop(self, task_id: str) -> None:
        del self._claims[task_id]
        self._patient.discard(task_id)

    def _cheapest(
        self, record: TaskRecord, size: Resources, now_ms: int
    ) -> tuple[str, list[TaskRecord]] | None:
        best: tuple[str, list[TaskRecord]] | None = None
        least: _Price | None = None
        rooms = self._site.rooms
        for room in self._some_rooms(record):
            spare = rooms.spare(room)
            victims = self._victims_on(room, spare, size, now_ms)
            if victims is None:
                continue
            price = (
                spread_cost(record.group, room, rooms),
                *self._price(victims, now_ms),
            )
            if least is None or price < least:
                best, least = (room.target_id, victims), price
        return best

    def ready(self, now_ms: int) -> list[TaskRecord]:
        """Return and forget the claims whose room is free.

        Claims that ran out or whose target was closed give back their room.
        """
        done = []
        book, rooms = self._site.book, self._site.rooms
        for task_id, until_ms in list(self._claims.items()):
            record = book.records.get(task_id)
            if record is None or record.claim_until_ms != until_ms:
                self._drop(task_id)
                continue
            room = rooms.room(record.target_id)
            if until_ms <= now_ms or not room.is_open:
                self._drop(task_id)
                book.release(record)
                book.waiting.add(record, now_ms)
            elif not room.free.is_negative():
                self._drop(task_id)
                done.append(record)
        return done

    def _some_rooms(self, record: TaskRecord) -> list[Room]:
        site = self._site
        names = site.rooms.sample(site.settings.claim_candidates)
        rooms = [site.rooms.by_id[name] for name in names]
        fresh = [room for room in rooms if room.target_id not in record.failed_targets]
        return [room for room in fresh or rooms if room.is_open]

    @staticmethod
    def _victims_on(
        room: Room, spare: Resources, size: Resources, now_ms: int
    ) -> list[TaskRecord] | None:
        free = spare
        records = []
        for record in room.tasks:
            if is_leaving(record, now_ms):
                free = free.plus(record.held)
            else:
                records.append(record)
        return victims_for(size, free, cheapest_first(records, now_ms))

    @staticmethod
    def _price(victims: list[TaskRecord], now_ms: int) -> tuple[Standing, int]:
        costs = [eviction_cost(record, now_ms) for record in victims]
        standing = max((cost[0] for cost in costs), default=Standing.NORMAL)
        return standing, sum(cost[1] for cost in costs)
