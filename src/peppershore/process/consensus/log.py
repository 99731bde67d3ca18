"""The replicated log in memory: the entries after the compaction point."""

from __future__ import annotations

from collections.abc import Sequence

from peppershore.connection.messages.consensus import LogEntry


class ReplicatedLog:
    """Entries with consecutive indexes after ``base_index``, the compaction point.

    Index and term of the last dropped entry are retained, so that the log of a peer
    that ends exactly there can still be matched.
    """

    def __init__(
        self, base_index: int, base_term: int, entries: Sequence[LogEntry] = ()
    ) -> None:
        """Start after ``base_index``; ``entries`` must follow it without gaps."""
        self.base_index = base_index
        self._base_term = base_term
        self._entries: list[LogEntry] = []
        for entry in entries:
            self.append(entry)

    @property
    def last_index(self) -> int:
        """Index of the newest entry, or of the compaction point."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the newest entry, or of the compaction point."""
        return self._entries[-1].term if self._entries else self._base_term

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry at ``index``; None if this log does not hold it."""
        if index == self.base_index:
            return self._base_term
        if self.base_index < index <= self.last_index:
            return self.entry_at(index).term
        return None

    def entry_at(self, index: int) -> LogEntry:
        """Return the entry at an index after the compaction point."""
        return self._entries[index - self.base_index - 1]

    def append(self, entry: LogEntry) -> None:
        """Append the next entry; its index must follow ``last_index``."""
        assert entry.index == self.last_index + 1
        self._entries.append(entry)

    def truncate_from(self, index: int) -> None:
        """Drop the entries from ``index`` on."""
        assert index > self.base_index
        del self._entries[index - self.base_index - 1 :]

    def compact(self, index: int) -> None:
        """Drop the entries up to and including ``index``."""
        if index <= self.base_index:
            return
        term = self.entry_at(index).term
        del self._entries[: index - self.base_index]
        self.base_index = index
        self._base_term = term

    def entries_after(
        self, index: int, max_entries: int, max_bytes: int
    ) -> tuple[LogEntry, ...]:
        """Return entries after ``index``, within the two bounds.

        The first one is returned even if it exceeds ``max_bytes`` of payload.
        """
        chosen: list[LogEntry] = []
        size = 0
        start = index - self.base_index
        for entry in self._entries[start : start + max_entries]:
            size += len(entry.payload)
            if chosen and size > max_bytes:
                break
            chosen.append(entry)
        return tuple(chosen)

    def first_index_of_term_at(self, index: int) -> int:
        """Return the first index in this log with the same term as that at ``index``."""
        term = self.term_at(index)
        while index - 1 > self.base_index and self.term_at(index - 1) == term:
            index -= 1
        return index
