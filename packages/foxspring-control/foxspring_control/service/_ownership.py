"""Which entry should own which target: a pure decision."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from foxspring_model import OwnerAssignment

UNEVEN_BY = 2


class Candidates(NamedTuple):
    """Entries by what they may be given.

    ``live`` ones keep what they own, ``takers`` may be given targets without
    an owner, and ``stable`` ones also targets of others.
    """

    live: tuple[str, ...]
    takers: tuple[str, ...]
    stable: tuple[str, ...]


def plan_owners(
    owners: Mapping[str, str],
    unassignable: frozenset[str],
    candidates: Candidates,
    moves_limit: int,
) -> tuple[OwnerAssignment, ...]:
    """Return new owners for targets without one and moves for an even spread.

    ``owners`` maps each target to its owner, empty if it has none. A target
    whose owner is no candidate is given to another. Moves between candidates
    happen only where two differ by more than ``UNEVEN_BY``, since each move
    holds up its target for a lease. ``unassignable`` targets are left alone.
    """
    held = _held(owners, candidates.live)
    assignments = _assign_orphans(owners, unassignable, held, candidates)
    assignments += _even_out(held, candidates.stable, unassignable, moves_limit)
    return tuple(assignments)


def _held(owners: Mapping[str, str], live: Iterable[str]) -> dict[str, list[str]]:
    held: dict[str, list[str]] = {entry_id: [] for entry_id in live}
    for target_id in sorted(owners):
        if owners[target_id] in held:
            held[owners[target_id]].append(target_id)
    return held


def _assign_orphans(
    owners: Mapping[str, str],
    unassignable: frozenset[str],
    held: dict[str, list[str]],
    candidates: Candidates,
) -> list[OwnerAssignment]:
    assignments: list[OwnerAssignment] = []
    if not candidates.takers:
        return assignments
    for target_id in sorted(owners):
        if owners[target_id] in held or target_id in unassignable:
            continue
        entry_id = min(candidates.takers, key=lambda taker: (len(held[taker]), taker))
        held[entry_id].append(target_id)
        assignments.append(OwnerAssignment(target_id, entry_id))
    return assignments


def _even_out(
    held: dict[str, list[str]],
    stable: tuple[str, ...],
    unassignable: frozenset[str],
    moves_limit: int,
) -> list[OwnerAssignment]:
    moves: list[OwnerAssignment] = []
    while stable and len(moves) < moves_limit:
        fullest = max(held, key=lambda entry_id: (len(held[entry_id]), entry_id))
        emptiest = min(stable, key=lambda entry_id: (len(held[entry_id]), entry_id))
        if len(held[fullest]) - len(held[emptiest]) <= UNEVEN_BY:
            break
        movable = [t for t in held[fullest] if t not in unassignable]
        if not movable:
            break
        target_id = movable[-1]
        held[fullest].remove(target_id)
        held[emptiest].append(target_id)
        moves.append(OwnerAssignment(target_id, emptiest))
    return moves
