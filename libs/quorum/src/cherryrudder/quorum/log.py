"""In-memory log: the entries after a base, which is the log's start or a snapshot."""

from .events import Entry


class Log:
    """Entries `base_index + 1` to `last_index`, and the term of the base."""

    def __init__(self, base_index=0, base_term=0, entries=()):
        self.base_index = base_index
        self.base_term = base_term
        self._entries = list(entries)

    @property
    def last_index(self) -> int:
        """Return the index of the newest entry, or of the base if there is none."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Return the term of the newest entry, or of the base if there is none."""
        return self._entries[-1].term if self._entries else self.base_term

    def holds(self, index: int) -> bool:
        """Return whether the log has the term of an index."""
        return self.base_index <= index <= self.last_index

    def term_at(self, index: int) -> int:
        """Return the term of an index; the log must hold it."""
        if index == self.base_index:
            return self.base_term
        return self._entries[index - self.base_index - 1].term

    def slice(self, first: int, end: int) -> tuple[Entry, ...]:
        """Return the entries from `first` up to but not including `end`."""
        return tuple(
            self._entries[first - self.base_index - 1 : end - self.base_index - 1]
        )

    def append(self, entry: Entry) -> None:
        """Append the next entry. Raises ValueError if it would leave a gap."""
        if entry.index != self.last_index + 1:
            raise ValueError(f"entry {entry.index} after {self.last_index}")
        self._entries.append(entry)

    def truncate(self, first: int) -> None:
        """Drop the entries from index `first` on."""
        del self._entries[first - self.base_index - 1 :]

    def compact(self, index: int) -> None:
        """Drop the entries up to an index, which becomes the base."""
        term = self.term_at(index)
        del self._entries[: index - self.base_index]
        self.base_index = index
        self.base_term = term

    def reset(self, index: int, term: int) -> None:
        """Drop all entries and set the base to that of a snapshot."""
        self.base_index = index
        self.base_term = term
        self._entries.clear()

    def first_of_term(self, index: int) -> int:
        """Return the first index held that has the same term as `index`."""
        term = self.term_at(index)
        while index > self.base_index and self.term_at(index - 1) == term:
            index -= 1
        return index

    def last_of_term(self, term: int) -> int:
        """Return the last index of a term, or 0 if the log has no entry of it."""
        for entry in reversed(self._entries):
            if entry.term == term:
                return entry.index
            if entry.term < term:
                return 0
        return 0
