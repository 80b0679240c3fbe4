"""Records a folder and reproduces what a power loss may leave of it.

A file keeps what its last sync covered; each later write to it is there, missing or
torn. A name that was created, renamed or removed is certain only once the folder was
synced, and until then independent of the others; a file's own sync does not cover it.
"""

import itertools
import os
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import NamedTuple

Names = dict[str, int]


class NameChange(NamedTuple):
    """Names that change together, with their files before and after (0 for none)."""

    before: Names
    after: Names


class FolderRecorder:
    """Knows what is durable in a folder; ``on_sync`` is called before each sync.

    Pass :meth:`sync` and :meth:`sync_folder` to the code under test in place of the
    system's. Files must not be modified through other names than those in the folder.
    """

    def __init__(self, folder: Path, on_sync: Callable[[], None]) -> None:
        self.folder = folder
        self.on_sync = on_sync
        self.synced: dict[int, bytes] = {}
        self.names: Names = {}
        self.links = folder.parent / "links"
        self.links.mkdir()

    def sync(self, descriptor: int) -> None:
        """Make a file's content durable."""
        self.on_sync()
        file = os.fstat(descriptor).st_ino
        for name, other in self._current_names().items():
            if other == file:
                self.synced[file] = (self.folder / name).read_bytes()

    def sync_folder(self, folder: Path) -> None:
        """Make all names durable, if this is the recorded folder."""
        if folder == self.folder:
            self.on_sync()
            self.names = self._current_names()

    def _current_names(self) -> Names:
        names = {path.name: path.stat().st_ino for path in self.folder.iterdir()}
        for name, file in names.items():
            link = self.links / str(file)
            if not link.exists():
                # The system would reuse the number of a deleted file.
                link.hardlink_to(self.folder / name)
        return names

    def possible_contents(self) -> Iterator[dict[str, bytes]]:
        """Yield each content that the folder may have after a power loss now."""
        current = self._current_names()
        for names in self._possible_names(current):
            files = sorted(set(names.values()))
            options = [self._possible_bytes(file, current) for file in files]
            for chosen in itertools.product(*options):
                data = dict(zip(files, chosen, strict=True))
                yield {name: data[file] for name, file in names.items()}

    def _possible_names(self, current: Names) -> Iterator[Names]:
        changes = _changes(self.names, current)
        for kept in itertools.product((False, True), repeat=len(changes)):
            names = dict(self.names)
            for change, keep in zip(changes, kept, strict=True):
                names.update(change.after if keep else {})
            yield {name: file for name, file in names.items() if file}

    def _possible_bytes(self, file: int, current: Names) -> list[bytes]:
        durable = self.synced.get(file, b"")
        names = [name for name, other in current.items() if other == file]
        if not names:
            return [durable]
        written = (self.folder / names[0]).read_bytes()
        if written == durable:
            return [durable]
        if not written.startswith(durable):
            return [durable, written]
        torn = (len(durable) + len(written)) // 2
        return [durable, written[:torn], written]


def _changes(before: Names, after: Names) -> list[NameChange]:
    """Return the differences; the two names of a renamed file change together."""
    changed = {
        name for name in {*before, *after} if before.get(name, 0) != after.get(name, 0)
    }
    changes = []
    for name in sorted(changed):
        renamed_from = [n for n in changed if before.get(n) == after.get(name, 0)]
        if name in before and name not in after and before[name] in after.values():
            continue
        together = [name, *renamed_from]
        changes.append(
            NameChange(
                {n: before.get(n, 0) for n in together},
                {n: after.get(n, 0) for n in together},
            )
        )
    return changes
