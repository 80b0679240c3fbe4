"""An index that finds targets with enough free capacity without a full scan."""

from foxspring_model._resources import Resources

_FULL = Resources(-1, -1, -1, -1, -1)
_ROOT = 1


def _maximum(left: Resources, right: Resources) -> Resources:
    if left is _FULL:
        return right
    if right is _FULL:
        return left
    return Resources(
        left[0] if left[0] > right[0] else right[0],
        left[1] if left[1] > right[1] else right[1],
        left[2] if left[2] > right[2] else right[2],
        left[3] if left[3] > right[3] else right[3],
        left[4] if left[4] > right[4] else right[4],
    )


def _fits(need: Resources, free: Resources) -> bool:
    return (
        need[2] <= free[2]
        and need[3] <= free[3]
        and need[0] <= free[0]
        and need[4] <= free[4]
        and need[1] <= free[1]
    )


class FitTree:
    """A binary tree whose leaves hold the free capacity of each target.

    An inner node holds the maximum of each resource below it, so a search skips
    every subtree that cannot fit the request. Both ``put`` and a search that
    succeeds early take time logarithmic in the number of targets.
    """

    def __init__(self) -> None:
        self._width = 1
        self._nodes: list[Resources] = [_FULL, _FULL]
        self._names: list[str] = [""]
        self._leaf_of: dict[str, int] = {}
        self._unused: list[int] = [0]

    def __len__(self) -> int:
        return len(self._leaf_of)

    def put(self, name: str, free: Resources | None) -> None:
        """Set the free capacity of ``name``; ``None`` excludes it from searches."""
        leaf = self._leaf_of.get(name)
        if leaf is None:
            leaf = self._allocate_leaf(name)
        self._set(leaf, _FULL if free is None else free)

    def remove(self, name: str) -> None:
        """Remove ``name``; unknown names are ignored."""
        leaf = self._leaf_of.pop(name, None)
        if leaf is None:
            return
        self._set(leaf, _FULL)
        self._names[leaf] = ""
        self._unused.append(leaf)

    def may_fit(self, need: Resources) -> bool:
        """Return, in constant time, whether a search might find anything."""
        return _fits(need, self._nodes[_ROOT])

    def find(
        self, need: Resources, start: float, limit: int, max_nodes: int
    ) -> list[str]:
        """Return up to ``limit`` names that fit ``need``.

        The search starts at the fraction ``start`` of the leaves, wraps around
        and stops after visiting ``max_nodes`` nodes.
        """
        first = int(start * self._width)
        found: list[str] = []
        left = self._collect(need, (first, self._width), found, limit, max_nodes)
        if first and len(found) < limit and left > 0:
            self._collect(need, (0, first), found, limit, left)
        return found

    def _collect(
        self,
        need: Resources,
        span: tuple[int, int],
        found: list[str],
        limit: int,
        max_nodes: int,
    ) -> int:
        low, high = span
        stack = [(_ROOT, 0, self._width)]
        nodes = self._nodes
        while stack and max_nodes > 0:
            node, begin, end = stack.pop()
            if end <= low or begin >= high:
                continue
            max_nodes -= 1
            if not _fits(need, nodes[node]):
                continue
            if node >= self._width:
                found.append(self._names[begin])
                if len(found) >= limit:
                    return 0
                continue
            middle = (begin + end) // 2
            stack.append((2 * node + 1, middle, end))
            stack.append((2 * node, begin, middle))
        return max_nodes

    def _allocate_leaf(self, name: str) -> int:
        if not self._unused:
            self._grow()
        leaf = self._unused.pop()
        self._leaf_of[name] = leaf
        self._names[leaf] = name
        return leaf

    def _grow(self) -> None:
        leaves = self._nodes[self._width :]
        self._unused = list(range(2 * self._width - 1, self._width - 1, -1))
        self._names.extend([""] * self._width)
        self._width *= 2
        self._nodes = [_FULL] * self._width + leaves + [_FULL] * len(leaves)
        for node in range(self._width - 1, 0, -1):
            self._refresh(node)

    def _set(self, leaf: int, free: Resources) -> None:
        node = self._width + leaf
        self._nodes[node] = free
        node //= 2
        while node:
            if not self._refresh(node):
                return
            node //= 2

    def _refresh(self, node: int) -> bool:
        maximum = _maximum(self._nodes[2 * node], self._nodes[2 * node + 1])
        changed = maximum != self._nodes[node]
        self._nodes[node] = maximum
        return changed
