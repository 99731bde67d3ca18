"""What the leader knows of how tenants use their limits."""

from __future__ import annotations

import msgspec

CALM_SECONDS = 5.0
"""A limit that refused nothing for so long binds no more: a shorter pause of a tenant at
its limit would write a line each time."""


class LimitBegan(msgspec.Struct, frozen=True):
    """A tenant's limit refuses calls from now on."""

    tenant: str


class LimitEnded(msgspec.Struct, frozen=True):
    """It refused nothing for a while; it did so for ``seconds``, that while not counted.

    ``granted`` and ``refused`` are the calls of that time.
    """

    tenant: str
    seconds: float
    granted: int
    refused: int


LimitChange = LimitBegan | LimitEnded


class TenantUse:
    """Calls of one tenant since the leadership began, and in the last whole window."""

    __slots__ = (
        "_began_at",
        "_before",
        "_in_window",
        "_last_window",
        "_refused_at",
        "_window_at",
        "granted",
        "refused",
    )

    def __init__(self, now: float) -> None:
        """Begin without calls."""
        self.granted = 0
        self.refused = 0
        self._window_at = now
        self._in_window = 0
        self._last_window = 0
        self._refused_at = 0.0
        self._began_at: float | None = None
        self._before = (0, 0)

    @property
    def is_binding(self) -> bool:
        """Whether the limit refuses calls."""
        return self._began_at is not None

    def add(self, granted: int, refused: int, window: float, now: float) -> bool:
        """Count calls; give whether the limit begins to bind by them."""
        self._turn(window, now)
        begins = refused > 0 and self._began_at is None
        if begins:
            self._began_at = now
            self._before = (self.granted, self.refused)
        if refused > 0:
            self._refused_at = now
        self.granted += granted
        self.refused += refused
        self._in_window += granted
        return begins

    def rate(self, window: float, now: float) -> float:
        """Give the granted calls a second in the last whole window."""
        self._turn(window, now)
        return self._last_window / window

    def end_if_calm(self, tenant: str, now: float) -> LimitEnded | None:
        """Tell that the limit binds no more, once."""
        if self._began_at is None or now - self._refused_at < CALM_SECONDS:
            return None
        seconds = self._refused_at - self._began_at
        granted, refused = self._before
        self._began_at = None
        return LimitEnded(tenant, seconds, self.granted - granted, self.refused - refused)

    def _turn(self, window: float, now: float) -> None:
        passed = int((now - self._window_at) / window)
        if passed > 0:
            self._last_window = self._in_window if passed == 1 else 0
            self._in_window = 0
            self._window_at += passed * window


class Usage:
    """The use of all tenants that have a limit; times as the decider's."""

    def __init__(self, window_seconds: float) -> None:
        """Begin without tenants."""
        self._window = window_seconds
        self._uses: dict[str, TenantUse] = {}
        self._changes: list[LimitChange] = []

    def keep_only(self, tenants: frozenset[str]) -> None:
        """Forget tenants that have no limit any more."""
        for tenant in self._uses.keys() - tenants:
            del self._uses[tenant]

    def add(self, tenant: str, granted: int, refused: int, now: float) -> None:
        """The leader granted so many calls of a tenant, and refused so many."""
        use = self._uses.get(tenant)
        if use is None:
            use = self._uses[tenant] = TenantUse(now)
        if use.add(granted, refused, self._window, now):
            self._changes.append(LimitBegan(tenant))

    def changes(self, now: float) -> list[LimitChange]:
        """Give the limits that began and ended to bind since the last time."""
        for tenant, use in self._uses.items():
            ended = use.end_if_calm(tenant, now)
            if ended is not None:
                self._changes.append(ended)
        changes, self._changes = self._changes, []
        return changes

    def of(self, tenant: str) -> TenantUse | None:
        """Give the use of one tenant; None if it asked for nothing."""
        return self._uses.get(tenant)
