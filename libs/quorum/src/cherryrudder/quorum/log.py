"""The log in memory: the entries after a base, which is its start or a snapshot."""

from .events import Entry


class Log:
    """Entries `base_index + 1` to `last_index`; the base's term is known too."""

    def __init__(self, base_index=0, base_term=0, entries=()):
        self.base_index = base_index
        self.base_term = base_term
        self._entries = list(entries)

    @property
    def last_index(self) -> int:
        """Return the index of the newest entry, or the base's."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Return the term of the newest entry, or the base's."""
        return self._entries[-1].term if self._entries else self.base_term

    def holds(self, index: int) -> bool:
        """Tell whether the term at an index is known."""
        return self.base_index <= index <= self.last_index

    def term_at(self, index: int) -> int:
        """Return the term at an index that the log holds."""
        if index == self.base_index:
            return self.base_term
        return self._entries[index - self.base_index - 1].term

    def slice(self, first: int, end: int) -> tuple[Entry, ...]:
        """Return the entries from `first` up to but not including `end`."""
        return tuple(
            self._entries[first - self.base_index - 1 : end - self.base_index - 1]
        )

    def append(self, entry: Entry) -> None:
        """Add the next entry."""
        if entry.index != self.last_index + 1:
            raise ValueError(f"entry {entry.index} after {self.last_index}")
        self._entries.append(entry)

    def truncate(self, first: int) -> None:
        """Drop the entries from `first` on."""
        del self._entries[first - self.base_index - 1 :]

    def compact(self, index: int) -> None:
        """Move the base up to an index that the log holds."""
        term = self.term_at(index)
        del self._entries[: index - self.base_index]
        self.base_index = index
        self.base_term = term

    def reset(self, index: int, term: int) -> None:
        """Start again, empty, after a snapshot."""
        self.base_index = index
        self.base_term = term
        self._entries.clear()

    def first_of_term(self, index: int) -> int:
        """Return the first known index with the same term as the one at `index`."""
        term = self.term_at(index)
        while index > self.base_index and self.term_at(index - 1) == term:
            index -= 1
        return index

    def last_of_term(self, term: int) -> int:
        """Return the last index of a term, or 0 when the log has none."""
        for entry in reversed(self._entries):
            if entry.term == term:
                return entry.index
            if entry.term < term:
                return 0
        return 0
