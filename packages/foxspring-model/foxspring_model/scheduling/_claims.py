"""Room that is being freed for urgent tasks on a full site."""

from foxspring_model._resources import Resources
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

_Price = tuple[Standing, int]


class Claims:
    """Urgent tasks that hold a place which others are leaving.

    A claim holds its size beside the victims', so the target's free room is
    negative until they have left and nothing else is placed there.
    """

    def __init__(self, site: Site) -> None:
        self._site = site
        self._claims: dict[str, int] = {}

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
        until_ms = now_ms + self._site.settings.claim_ms
        self._site.book.hold(record, target_id, size)
        record.claim_until_ms = until_ms
        self._claims[record.task_id] = until_ms
        return victims

    def _cheapest(
        self, record: TaskRecord, size: Resources, now_ms: int
    ) -> tuple[str, list[TaskRecord]] | None:
        best: tuple[str, list[TaskRecord]] | None = None
        least: _Price | None = None
        for room in self._some_rooms(record):
            victims = self._victims_on(room, size, now_ms)
            if victims is None:
                continue
            price = self._price(victims, now_ms)
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
                del self._claims[task_id]
                continue
            room = rooms.room(record.target_id)
            if until_ms <= now_ms or not room.is_open:
                del self._claims[task_id]
                book.release(record)
                book.waiting.add(record, now_ms)
            elif not room.free.is_negative():
                del self._claims[task_id]
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
        room: Room, size: Resources, now_ms: int
    ) -> list[TaskRecord] | None:
        free = room.free
        records = []
        for record in room.tasks:
            if is_leaving(record, now_ms):
                free = free.plus(record.held)
            else:
                records.append(record)
        return victims_for(size, free, cheapest_first(records, now_ms))

    @staticmethod
    def _price(victims: list[TaskRecord], now_ms: int) -> _Price:
        costs = [eviction_cost(record, now_ms) for record in victims]
        standing = max((cost[0] for cost in costs), default=Standing.NORMAL)
        return standing, sum(cost[1] for cost in costs)
