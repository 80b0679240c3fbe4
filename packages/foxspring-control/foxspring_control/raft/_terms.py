"""The terms of the log's entries, kept as runs of equal terms."""

from bisect import bisect_right


class TermTable:
    """Knows the term of each index from ``base_index`` to ``last_index``.

    Entries at and below ``base_index`` are compacted away; the memory held is
    one pair for each change of term.
    """

    def __init__(self, base_index: int = 0, base_term: int = 0) -> None:
        self.base_index = base_index
        self.base_term = base_term
        self.last_index = base_index
        self._starts: list[int] = []
        self._terms: list[int] = []

    @property
    def last_term(self) -> int:
        """Return the term of the last entry."""
        return self._terms[-1] if self._terms else self.base_term

    def term_at(self, log_index: int) -> int | None:
        """Return the term at an index, or none if it isn't known here."""
        if log_index == self.base_index:
            return self.base_term
        if not self.base_index < log_index <= self.last_index:
            return None
        return self._terms[bisect_right(self._starts, log_index) - 1]

    def append(self, log_index: int, term: int) -> None:
        """Record the entry at ``log_index``, replacing all from there on."""
        if log_index <= self.last_index:
            self.truncate(log_index)
        if log_index != self.last_index + 1:
            raise ValueError(
                f"entry {log_index} doesn't follow {self.last_index}; "
                "the log must be appended to without gaps"
            )
        if not self._terms or self._terms[-1] != term:
            self._starts.append(log_index)
            self._terms.append(term)
        self.last_index = log_index

    def truncate(self, first_dropped: int) -> None:
        """Forget ``first_dropped`` and all after it."""
        while self._starts and self._starts[-1] >= first_dropped:
            self._starts.pop()
            self._terms.pop()
        self.last_index = max(self.base_index, first_dropped - 1)

    def compact(self, log_index: int) -> None:
        """Forget all below ``log_index``, which becomes the base."""
        term = self.term_at(log_index)
        if term is None or log_index <= self.base_index:
            return
        while len(self._starts) > 1 and self._starts[1] <= log_index + 1:
            self._starts.pop(0)
            self._terms.pop(0)
        if self._starts:
            self._starts[0] = log_index + 1
        if log_index == self.last_index:
            self._starts.clear()
            self._terms.clear()
        self.base_index = log_index
        self.base_term = term

    def reset(self, base_index: int, base_term: int) -> None:
        """Become empty after ``base_index``."""
        self.base_index = base_index
        self.base_term = base_term
        self.last_index = base_index
        self._starts.clear()
        self._terms.clear()

    def first_index_of_term(self, log_index: int) -> int:
        """Return the first index of the run of terms that holds ``log_index``."""
        if not self.base_index < log_index <= self.last_index:
            return self.base_index + 1
        return self._starts[bisect_right(self._starts, log_index) - 1]
