"""The log and state of a control member that has ended, read from its data folder."""

import shutil
import tempfile
from pathlib import Path
from typing import NamedTuple

from foxspring_config import parse_configuration
from foxspring_control.raft._settings import MIB
from foxspring_control.raft._state import LOG_KIND_PREFIX
from foxspring_control.raft._storage import Storage
from foxspring_control.state import ControlState


class MemberState(NamedTuple):
    """What an ended member holds at a log index.

    ``applied_index`` is the last entry it had applied when it ended. ``term`` is the
    term of its entry at the index, or ``None`` without such an entry; ``digest`` is
    of its state after all entries up to the index, empty without them.
    """

    applied_index: int
    term: int | None
    digest: str


def read_applied_index(data_folder: Path) -> int:
    """Return the last entry that a member had applied when it ended."""
    with tempfile.TemporaryDirectory() as folder:
        state = _open_state(_copy(data_folder, folder))
        try:
            return state.applied_index()
        finally:
            state.close()


def read_member(data_folder: Path, member_id: str, log_index: int) -> MemberState:
    """Return what a member holds at an index; its data folder stays as it is.

    Entries of its log that it had not applied yet are applied to a copy.
    """
    with tempfile.TemporaryDirectory() as folder:
        copy = _copy(data_folder, folder)
        state = _open_state(copy)
        storage = Storage(copy, member_id, MIB, MIB)
        try:
            applied_index = state.applied_index()
            log = storage.open().log
            if log.last_index < log_index:
                return MemberState(applied_index, None, "")
            _apply(storage, state, log_index)
            return MemberState(applied_index, log.term_at(log_index), state.digest())
        finally:
            storage.close()
            state.close()


def _copy(data_folder: Path, folder: str) -> Path:
    return Path(shutil.copytree(data_folder, Path(folder) / "data"))


def _open_state(data_folder: Path) -> ControlState:
    return ControlState(data_folder, parse_configuration)


def _apply(storage: Storage, state: ControlState, log_index: int) -> None:
    first = state.applied_index() + 1
    while first <= log_index:
        entries = storage.read(first, log_index, MIB)
        state.apply([e for e in entries if not e.kind.startswith(LOG_KIND_PREFIX)])
        first = entries[-1].log_index + 1
