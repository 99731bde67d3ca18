"""Which bodies a back end's own node takes in before a slot is free for their calls.

A body that comes only once its call holds a slot leaves that slot idle for the way there
and back and for the transfer: 40 to 70 ms of 4 KB on links of 1 Mbit/s, where the call
then runs for 340 ms.  So the body comes first, for a call more than there are slots: it
arrives about when the next slot is freed.
"""

from __future__ import annotations

PREFETCH_BEYOND_SLOTS = 1
"""Calls whose body may come beyond the slots.  With 10 back ends of 3 slots at 0.75 and
0.9 of their capacity, links of 1 Mbit/s and bodies of 4 KB, calls in aim were 0.90 and
0.58 without, 0.98 and 0.81 with one (virtual time, means of four seeds); links of
20 Mbit/s see no difference."""

MOST_BYTES = 64 * 1024
"""A larger body is not held here; it follows once its call has the slot."""

FETCH_SECONDS = 1.0
"""A body that has not come by then is given up: its sender stalls."""

RUN_PATIENCE_SECONDS = 0.3
"""A call whose body is in waits so long for its slot at least: its bytes were spent."""


class BodiesAhead:
    """Bodies on their way for calls that hold no slot yet."""

    __slots__ = ("coming",)

    def __init__(self) -> None:
        """Begin with none."""
        self.coming = 0

    def begin(self, held: int, waiting: int, slots: int) -> bool:
        """Ask for one more body, if its call is likely to have a slot when it is in.

        ``held``: slots in use, ``waiting``: calls in line for one.
        """
        if held + waiting + self.coming >= slots + PREFETCH_BEYOND_SLOTS:
            return False
        self.coming += 1
        return True

    def end(self) -> None:
        """A body is in, or given up."""
        assert self.coming > 0, "a body ended twice"
        self.coming -= 1
