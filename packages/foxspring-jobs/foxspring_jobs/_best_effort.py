"""Ranks targets for best-effort tasks that can wait, without scoring all of them.

Load pattern: thousands of best-effort tasks of many images wait while nearly every
target is crowded or its serving tasks bear no more interference. Which targets are
crowded does not depend on the image, and how much interference a target bears depends
on it only through the effects on the target's serving images. Targets are therefore
grouped by their serving images: the pressure that the targets of a group still bear
excludes most of them at once, and in a group those with the most unused cores go first.
"""

import heapq
import math
from bisect import bisect_left, bisect_right, insort
from collections.abc import Iterable, Iterator, Sequence
from typing import NamedTuple

from foxspring_jobs._candidates import Candidate, Effects
from foxspring_jobs._ranking import Accepts, Score
from foxspring_jobs._specs import StepSpec

# Covers rounding, so that only targets that are too risky are left out.
ROUNDING = 1e-9


class Entry(NamedTuple):
    """A candidate of a group; the first in sorted order has the most unused cores."""

    negative_unused: int
    position: int


class GroupKey(NamedTuple):
    """What the candidates of a group have in common."""

    on_probation: bool
    service: str
    images: frozenset[str]


class Group:
    """The candidates with the same service, serving images and state of probation.

    ``entries`` are sorted. ``reserves`` has, by serving image and candidate's position,
    the pressure that the candidate still bears, and ``highest_reserves`` at least the
    highest of these; both are empty until they are needed. ``core_limits`` has, by
    best-effort image, a number of millicores that no candidate bears more than; it is
    emptied when a highest reserve rises.
    """

    def __init__(self, key: GroupKey) -> None:
        self.key = key
        self.entries: list[Entry] = []
        self.reserves: dict[str, dict[int, float]] = {}
        self.highest_reserves: dict[str, float] = {}
        self.core_limits: dict[str, float] = {}

    def forget_reserves(self) -> None:
        """Let the reserves be noted again when they are needed."""
        self.reserves = {}
        self.highest_reserves = {}
        self.core_limits = {}

    def note_reserve(self, serving: str, position: int, reserve: float) -> None:
        """Set the pressure that a candidate still bears."""
        self.reserves.setdefault(serving, {})[position] = reserve
        if reserve > self.highest_reserves.get(serving, -math.inf):
            self.highest_reserves[serving] = reserve
            self.core_limits = {}


class LimitedGroup(NamedTuple):
    """A group and a number of millicores that no candidate of it bears more than."""

    core_limit: float
    group: Group


class BestEffortIndex:
    """The candidates of one plan, grouped.

    Call :meth:`update` when the plan has changed one, and :meth:`begin_plan` with those
    of the next plan.
    """

    def __init__(self, candidates: Sequence[Candidate], effects: Effects) -> None:
        self.candidates = candidates
        self.effects = effects
        self.groups: dict[GroupKey, Group] = {}
        self._limited: dict[tuple[str, str], list[LimitedGroup]] = {}
        self._locations: list[tuple[Group, Entry]] = []
        self._changed_groups: set[Group] = set()
        self._positions = {id(c): position for position, c in enumerate(candidates)}
        for position, candidate in enumerate(candidates):
            location = self._locate(position, candidate)
            self._locations.append(location)
            location[0].entries.append(location[1])
        for group in self.groups.values():
            group.entries.sort()

    def begin_plan(
        self, candidates: Sequence[Candidate], changed: Iterable[int], effects: Effects
    ) -> None:
        """Take over the candidates of the next plan, of which some are other objects.

        ``changed`` are the positions of these.
        """
        for position in changed:
            del self._positions[id(self.candidates[position])]
        self.candidates = candidates
        for position in changed:
            self._positions[id(candidates[position])] = position
            self._move(position)
        if effects is not self.effects:
            self.effects = effects
            self._changed_groups.update(self.groups.values())
        self._forget_changed()

    def _forget_changed(self) -> None:
        if self._changed_groups:
            self._limited = {}
        for group in self._changed_groups:
            group.forget_reserves()
            if not group.entries:
                del self.groups[group.key]
        self._changed_groups = set()

    def _locate(self, position: int, candidate: Candidate) -> tuple[Group, Entry]:
        images = candidate.serving_images()
        key = GroupKey(
            candidate.on_probation, candidate.target.registered.service, images
        )
        group = self.groups.get(key)
        if group is None:
            group = self.groups[key] = Group(key)
            self._limited = {}
        return group, Entry(-candidate.unused_cores(), position)

    def update(self, candidate: Candidate) -> None:
        """Move a candidate to its place after its capacity or its tasks changed."""
        position = self._positions[id(candidate)]
        group = self._move(position)
        if group.highest_reserves:
            self._note_reserves(group, position)
            if not group.core_limits:
                self._limited = {}

    def _move(self, position: int) -> Group:
        """Move a candidate to its place and return the group that it is in now."""
        group, entry = self._locations[position]
        self._changed_groups.add(group)
        del group.entries[bisect_left(group.entries, entry)]
        group, entry = self._locate(position, self.candidates[position])
        self._changed_groups.add(group)
        insort(group.entries, entry)
        self._locations[position] = (group, entry)
        return group

    def groups_with_cores(
        self, service: str, image: str, cores: int
    ) -> Iterator[Group]:
        """Yield the groups whose serving tasks may bear ``cores`` of an image."""
        limited = self._limited.get((service, image))
        if limited is None:
            limited = [
                LimitedGroup(self._core_limit(group, image), group)
                for group in self.groups.values()
                if group.key.service == service
            ]
            limited.sort(key=lambda each: each.core_limit, reverse=True)
            self._limited[service, image] = limited
        for core_limit, group in limited:
            if core_limit < cores:
                return
            yield group

    def _core_limit(self, group: Group, image: str) -> float:
        limit = group.core_limits.get(image)
        if limit is None:
            limit = group.core_limits[image] = self._new_core_limit(group, image)
        return limit

    def _new_core_limit(self, group: Group, image: str) -> float:
        if group.key.images and not group.highest_reserves:
            self._note_all_reserves(group)
        limit = math.inf
        for serving, highest in group.highest_reserves.items():
            effect = self.effects.per_millicore(serving, image)
            # Twice the rounding, since it has to include what the exact check does.
            if effect and highest + 2 * ROUNDING < limit * effect:
                limit = (highest + 2 * ROUNDING) / effect
        # A task without cores is harmless also beside a task over its limit.
        return max(0.0, limit)

    def entries_with_room(self, group: Group, image: str, cores: int) -> list[Entry]:
        """Return a group's entries that have ``cores`` unused millicores for an image.

        Most of those whose serving tasks do not bear them are left out.
        """
        needed = self._needed_reserves(group, image, cores)
        if needed is None:
            return []
        count = bisect_right(group.entries, (-cores, len(self.candidates)))
        entries = group.entries[:count]
        for serving, reserve in needed:
            reserves = group.reserves[serving]
            entries = [entry for entry in entries if reserves[entry[1]] >= reserve]
        return entries

    def _needed_reserves(
        self, group: Group, image: str, cores: int
    ) -> list[tuple[str, float]] | None:
        """Return the reserves that a task needs, or None if no target has them."""
        if group.key.images and not group.highest_reserves:
            self._note_all_reserves(group)
        needed = []
        for serving, highest in group.highest_reserves.items():
            added = self.effects.per_millicore(serving, image) * cores
            # An image without effect is harmless also beside a task over its limit.
            if not added:
                continue
            if added - ROUNDING > highest:
                return None
            needed.append((serving, added - ROUNDING))
        return needed

    def _note_all_reserves(self, group: Group) -> None:
        for entry in group.entries:
            self._note_reserves(group, entry.position)

    def _note_reserves(self, group: Group, position: int) -> None:
        candidate = self.candidates[position]
        for serving, reserve in candidate.pressure_reserves(self.effects):
            group.note_reserve(serving, position, reserve)

    def is_harmful(self, group: Group, image: str) -> bool:
        """Return whether an image affects any of a group's serving images."""
        return any(self.effects.per_millicore(s, image) > 0 for s in group.key.images)


class _Key(NamedTuple):
    """The order in which targets are used."""

    on_probation: bool
    is_harmful: bool
    negative_sensitivity: float
    entry: Entry


class BestEffortRanking:
    """The targets for the tasks of one step that are neither crowded nor too risky.

    It chooses as a :class:`Ranking` of all candidates does in which crowded and too
    risky ones rank below the others that are on probation or are not.
    """

    def __init__(
        self, index: BestEffortIndex, step: StepSpec, service: str, accepts: Accepts
    ) -> None:
        self.index = index
        self.step = step
        self.service = service
        self.accepts = accepts
        self.cores = step.resources.cores_milli
        self._heap: list[tuple[_Key, Iterator[Entry]]] = []
        for group in index.groups_with_cores(service, step.image, self.cores):
            self._add_group(group)

    def _add_group(self, group: Group) -> None:
        image = self.step.image
        entries = iter(self.index.entries_with_room(group, image, self.cores))
        first = next(entries, None)
        if first is not None:
            sensitivity = self.index.effects.sensitivity(group.key.images)
            harmful = self.index.is_harmful(group, image)
            key = _Key(group.key.on_probation, harmful, -sensitivity, first)
            heapq.heappush(self._heap, (key, entries))

    def best(self) -> tuple[Candidate, Score] | None:
        """Return the best target and the beginning of its score, or None."""
        while self._heap:
            key, _ = self._heap[0]
            candidate = self.index.candidates[key.entry.position]
            if self._is_suitable(candidate):
                if key.on_probation and self._any_other_accepts():
                    return None
                return candidate, (key.on_probation, False, False)
            self._drop_best()
        return None

    def _is_suitable(self, candidate: Candidate) -> bool:
        effects = self.index.effects
        risk = candidate.risk(effects, self.step.image, self.cores)
        return risk <= 1 and self.accepts(candidate)

    def _any_other_accepts(self) -> bool:
        return any(
            not candidate.on_probation and self.accepts(candidate)
            for candidate in self.index.candidates
        )

    def _drop_best(self) -> _Key:
        key, entries = self._heap[0]
        following = next(entries, None)
        if following is None:
            heapq.heappop(self._heap)
        else:
            replaced = (key._replace(entry=following), entries)
            heapq.heapreplace(self._heap, replaced)
        return key

    def rescore_best(self) -> None:
        """Rank the best target again after a task was reserved on it."""
        key = self._drop_best()
        position = key.entry.position
        unused = self.index.candidates[position].unused_cores()
        if unused >= self.cores:
            changed = key._replace(entry=Entry(-unused, position))
            heapq.heappush(self._heap, (changed, iter(())))

    def candidates(self) -> list[Candidate]:
        """Return the targets that accept a task, suitable or not."""
        return [c for c in self.index.candidates if self.accepts(c)]
