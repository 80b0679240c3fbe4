"""Run-length encoded terms of the log entries."""

from bisect import bisect_right


class TermTable:
    """Maps each index from ``base_index`` to ``last_index`` to its term.

    Entries up to and including ``base_index`` are compacted. Memory use is one
    index and term per change of term.
    """

    def __init__(self, base_index: int = 0, base_term: int = 0) -> None:
        self.base_index = base_index
        self.base_term = base_term
        self.last_index = base_index
        self._starts: list[int] = []
        self._terms: list[int] = []

    @property
    def last_term(self) -> int:
        """The term of the last entry."""
        return self._terms[-1] if self._terms else self.base_term

    def term_at(self, log_index: int) -> int | None:
        """Return the term at an index, or ``None`` if it is not known."""
        if log_index == self.base_index:
            return self.base_term
        if not self.base_index < log_index <= self.last_index:
            return None
        return self._terms[bisect_right(self._starts, log_index) - 1]

    def append(self, log_index: int, term: int) -> None:
        """Record the term at ``log_index`` and drop all later indexes.

        Raises:
            ValueError: ``log_index`` would leave a gap.
        """
        if log_index <= self.last_index:
            self.truncate(log_index)
        if log_index != self.last_index + 1:
            raise ValueError(
                f"entry {log_index} doesn't follow {self.last_index}; "
                "log entries must be appended without gaps"
            )
        if not self._terms or self._terms[-1] != term:
            self._starts.append(log_index)
            self._terms.append(term)
        self.last_index = log_index

    def truncate(self, first_dropped: int) -> None:
        """Drop ``first_dropped`` and all later indexes."""
        while self._starts and self._starts[-1] >= first_dropped:
            self._starts.pop()
            self._terms.pop()
        self.last_index = max(self.base_index, first_dropped - 1)

    def compact(self, log_index: int) -> None:
        """Drop all indexes below ``log_index``, which becomes the base."""
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
        """Drop all indexes and restart after ``base_index``."""
        self.base_index = base_index
        self.base_term = base_term
        self.last_index = base_index
        self._starts.clear()
        self._terms.clear()

    def first_index_of_term(self, log_index: int) -> int:
        """Return the first index of the run of equal terms around ``log_index``."""
        if not self.base_index < log_index <= self.last_index:
            return self.base_index + 1
        return self._starts[bisect_right(self._starts, log_index) - 1]
