"""Names that get a time series of their own, when there are too many names for one each."""

from __future__ import annotations

from collections.abc import Callable

OTHER = "other"


class LargestNames:
    """The ``most`` largest of the names seen so far; all others share one label.

    A larger name that is seen later replaces the smallest one, which from then on is one of the
    others. So the number of labels in use is bounded, and a label always means one name.
    """

    def __init__(self, most: int, on_replaced: Callable[[str], None] = lambda name: None) -> None:
        """Create an empty set; ``on_replaced`` is called with names that lose their label."""
        self._on_replaced = on_replaced
        self._most = most
        self._size_by_name: dict[str, float] = {}

    def label_of(self, name: str, size: float) -> str:
        """Return the label of a name of the given size.

        >>> names = LargestNames(1)
        >>> names.label_of("a", 5), names.label_of("b", 2), names.label_of("c", 7)
        ('a', 'other', 'c')
        >>> names.label_of("a", 5)
        'other'
        """
        sizes = self._size_by_name
        if name in sizes:
            sizes[name] = size
            return name
        if len(sizes) < self._most:
            sizes[name] = size
            return name
        smallest = min(sizes, key=sizes.__getitem__)
        if sizes[smallest] >= size:
            return OTHER
        del sizes[smallest]
        self._on_replaced(smallest)
        sizes[name] = size
        return name
