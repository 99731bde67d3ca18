"""What a back end says of itself by heartbeats, and what its node makes of it.

A life of a back end is told by the name that it gives itself and, where it says so, by
the moment it was born: a back end that starts again may keep its name and count its
reports anew.  A later life replaces an earlier one, and a late report of an earlier life
changes nothing.  Once a leaving has been acknowledged it binds: the back end is given no
new call after a bound.
"""

from __future__ import annotations

import msgspec

from peppershore.connection.messages.endpoints import WARMING_NOT_TOLD

STATE_READY = "ready"
STATE_LEAVING = "leaving"
STATE_GONE = "gone"

BORN_NOT_TOLD = 0
"""In place of when a life began: it does not say, and is told by its name alone."""

MAX_REMEMBERED_LIVES = 64


class Life(msgspec.Struct, frozen=True):
    """One life of a back end; ``born`` is Unix milliseconds of its start."""

    instance: str
    born: int = BORN_NOT_TOLD

    @property
    def name(self) -> str:
        """What no other life has, also not one of the same instance."""
        return f"{self.instance}@{self.born}" if self.born else self.instance


NO_LIFE = Life("")


class BackEndReport(msgspec.Struct, frozen=True):
    """One heartbeat.

    ``sequence`` rises with each report of a life.  ``warming_milliseconds`` is for how
    much longer the back end is slow.  ``version`` is that of its software, "" untold.
    """

    instance: str
    service: str
    address: str
    slots: int
    is_leaving: bool
    sequence: int
    warming_milliseconds: int = WARMING_NOT_TOLD
    born: int = BORN_NOT_TOLD
    version: str = ""

    @property
    def life(self) -> Life:
        """Whose report it is."""
        return Life(self.instance, self.born)


class BackEndView(msgspec.Struct, frozen=True):
    """The back end as its node knows it now; ``slots`` 0 before the first report."""

    instance: str = ""
    state: str = STATE_GONE
    slots: int = 0
    warming_milliseconds: int = WARMING_NOT_TOLD
    born: int = BORN_NOT_TOLD
    version: str = ""

    @property
    def life(self) -> Life:
        """The life that is shown; one without a name before the first report."""
        return Life(self.instance, self.born)


NO_BACK_END = BackEndView()


class BackEndReports:
    """The lives of the back end beside one node."""

    def __init__(self, service: str, silent_seconds: float) -> None:
        """A back end of ``service`` that says nothing for so long counts as gone."""
        self.view = NO_BACK_END
        self._service = service
        self._silent_seconds = silent_seconds
        self._heard_at = 0.0
        self._newest_born = BORN_NOT_TOLD
        self._sequences: dict[Life, int] = {}
        self._over: dict[Life, None] = {}

    def take(self, report: BackEndReport, now: float) -> bool:
        """Take a heartbeat; tell whether the view changed."""
        if not self._counts(report):
            return False
        life = report.life
        self._sequences[life] = report.sequence
        self._newest_born = max(self._newest_born, report.born)
        self._heard_at = now
        was_leaving = self.view.state == STATE_LEAVING
        is_same = life == self.view.life
        if not is_same and self.view.instance:
            self._end(self.view.life)
        leaving = report.is_leaving or (is_same and was_leaving)
        return self._show(
            BackEndView(
                instance=report.instance,
                state=STATE_LEAVING if leaving else STATE_READY,
                slots=report.slots,
                warming_milliseconds=report.warming_milliseconds,
                born=report.born,
                version=self.view.version if is_same else report.version,
            )
        )

    def left(self, instance: str, born: int = BORN_NOT_TOLD) -> bool:
        """The back end says that it ends: like leaving, for good.

        It serves on for a while, so what it has been given is not taken from it.  A word
        without the moment of its birth is of the life that is shown under that name.
        """
        life = Life(instance, born)
        if not born and instance == self.view.instance:
            life = self.view.life
        self._end(life)
        if life != self.view.life:
            return False
        return self._show(msgspec.structs.replace(self.view, state=STATE_LEAVING))

    def not_there(self, life: str) -> bool:
        """Nothing answers, or another life does: wait for the next heartbeat."""
        if life != self.view.life.name or self.view.state == STATE_GONE:
            return False
        return self._show(msgspec.structs.replace(self.view, state=STATE_GONE))

    def overtaken(self, born: int) -> bool:
        """Others know of a life born then; tell whether what is shown is an earlier one.

        A node that started anew may first hear a late word of a life before.
        """
        self._newest_born = max(self._newest_born, born)
        is_earlier = BORN_NOT_TOLD < self.view.born < born
        if not is_earlier or self.view.state == STATE_GONE:
            return False
        return self._show(msgspec.structs.replace(self.view, state=STATE_GONE))

    def tick(self, now: float) -> bool:
        """Count a back end that was silent for too long as gone."""
        if self.view.state == STATE_GONE:
            return False
        if now - self._heard_at < self._silent_seconds:
            return False
        return self._show(msgspec.structs.replace(self.view, state=STATE_GONE))

    def _counts(self, report: BackEndReport) -> bool:
        """Whether a report is news of a back end of this node."""
        life = report.life
        if report.service != self._service or life in self._over:
            return False
        if BORN_NOT_TOLD < report.born < self._newest_born:
            return False
        return report.sequence > self._sequences.get(life, -1)

    def _show(self, view: BackEndView) -> bool:
        before = self.view
        self.view = view
        return (view.life, view.state, view.slots) != (
            before.life,
            before.state,
            before.slots,
        )

    def _end(self, life: Life) -> None:
        self._over[life] = None
        self._sequences.pop(life, None)
        while len(self._over) > MAX_REMEMBERED_LIVES:
            del self._over[next(iter(self._over))]
