"""Planning of target ownership, as pure functions."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from foxspring_model import OwnerAssignment

MAX_IMBALANCE = 2


class Candidates(NamedTuple):
    """Entries by the targets that may be assigned to them.

    ``live`` entries keep the targets they own, ``eligible`` entries may get
    targets without an owner, and ``stable`` entries also targets moved from
    other entries.
    """

    live: tuple[str, ...]
    eligible: tuple[str, ...]
    stable: tuple[str, ...]


def plan_owners(
    owners: Mapping[str, str],
    unassignable: frozenset[str],
    candidates: Candidates,
    moves_limit: int,
) -> tuple[OwnerAssignment, ...]:
    """Return new owners for targets without one, and moves that balance the load.

    ``owners`` maps each target to its owner, empty if it has none. A target
    whose owner is not in ``candidates.live`` gets another. Targets move between
    entries only while the numbers of targets differ by more than
    ``MAX_IMBALANCE``, because each move suspends work on its target for the
    duration of a lease. ``unassignable`` targets keep their owner.
    """
    owned = _targets_by_owner(owners, candidates.live)
    assignments = _assign_orphans(owners, unassignable, owned, candidates)
    assignments += _rebalance(owned, candidates.stable, unassignable, moves_limit)
    return tuple(assignments)


def _targets_by_owner(
    owners: Mapping[str, str], live: Iterable[str]
) -> dict[str, list[str]]:
    owned: dict[str, list[str]] = {entry_id: [] for entry_id in live}
    for target_id in sorted(owners):
        if owners[target_id] in owned:
            owned[owners[target_id]].append(target_id)
    return owned


def _assign_orphans(
    owners: Mapping[str, str],
    unassignable: frozenset[str],
    owned: dict[str, list[str]],
    candidates: Candidates,
) -> list[OwnerAssignment]:
    assignments: list[OwnerAssignment] = []
    if not candidates.eligible:
        return assignments
    for target_id in sorted(owners):
        if owners[target_id] in owned or target_id in unassignable:
            continue
        entry_id = min(
            candidates.eligible,
            key=lambda candidate: (len(owned[candidate]), candidate),
        )
        owned[entry_id].append(target_id)
        assignments.append(OwnerAssignment(target_id, entry_id))
    return assignments


def _rebalance(
    owned: dict[str, list[str]],
    stable: tuple[str, ...],
    unassignable: frozenset[str],
    moves_limit: int,
) -> list[OwnerAssignment]:
    moves: list[OwnerAssignment] = []
    while stable and len(moves) < moves_limit:
        fullest = max(owned, key=lambda entry_id: (len(owned[entry_id]), entry_id))
        emptiest = min(stable, key=lambda entry_id: (len(owned[entry_id]), entry_id))
        if len(owned[fullest]) - len(owned[emptiest]) <= MAX_IMBALANCE:
            break
        movable = [t for t in owned[fullest] if t not in unassignable]
        if not movable:
            break
        target_id = movable[-1]
        owned[fullest].remove(target_id)
        owned[emptiest].append(target_id)
        moves.append(OwnerAssignment(target_id, emptiest))
    return moves
