"""The leader's statistics on how tenants use their limits."""

from __future__ import annotations

import msgspec

NOT_BINDING_SECONDS = 5.0
"""A limit that refused no call for this time counts as no longer binding (refusing calls).
With a shorter time, each brief pause of a tenant at its limit would write a log line."""


class LimitBegan(msgspec.Struct, frozen=True):
    """A tenant's limit started to refuse calls."""

    tenant: str


class LimitEnded(msgspec.Struct, frozen=True):
    """A tenant's limit refused no call for ``NOT_BINDING_SECONDS``.

    ``seconds`` is the time from its first to its last refusal. ``granted`` and ``refused``
    count the calls from the first refusal until this change.
    """

    tenant: str
    seconds: float
    granted: int
    refused: int


LimitChange = LimitBegan | LimitEnded


class TenantUse:
    """Calls of one tenant in this leader's term, and in the last complete window."""

    __slots__ = (
        "_began_at",
        "_counts_before",
        "_in_window",
        "_last_window",
        "_refused_at",
        "_window_at",
        "granted",
        "refused",
    )

    def __init__(self, now: float) -> None:
        """Start without calls."""
        self.granted = 0
        self.refused = 0
        self._window_at = now
        self._in_window = 0
        self._last_window = 0
        self._refused_at = 0.0
        self._began_at: float | None = None
        self._counts_before = (0, 0)

    @property
    def is_binding(self) -> bool:
        """Whether the limit refuses calls."""
        return self._began_at is not None

    def add(self, granted: int, refused: int, window: float, now: float) -> bool:
        """Count calls; return whether the limit starts to refuse calls with these.

        ``window`` is the length in seconds of the windows over which calls are counted.
        """
        self._advance_window(window, now)
        starts = refused > 0 and self._began_at is None
        if starts:
            self._began_at = now
            self._counts_before = (self.granted, self.refused)
        if refused > 0:
            self._refused_at = now
        self.granted += granted
        self.refused += refused
        self._in_window += granted
        return starts

    def rate(self, window: float, now: float) -> float:
        """Return the granted calls per second of the last complete window.

        ``window`` is its length in seconds.
        """
        self._advance_window(window, now)
        return self._last_window / window

    def end_if_not_binding(self, tenant: str, now: float) -> LimitEnded | None:
        """Return the change, once, if the limit no longer refuses calls; otherwise None."""
        if self._began_at is None or now - self._refused_at < NOT_BINDING_SECONDS:
            return None
        seconds = self._refused_at - self._began_at
        granted, refused = self._counts_before
        self._began_at = None
        return LimitEnded(tenant, seconds, self.granted - granted, self.refused - refused)

    def _advance_window(self, window: float, now: float) -> None:
        passed = int((now - self._window_at) / window)
        if passed > 0:
            self._last_window = self._in_window if passed == 1 else 0
            self._in_window = 0
            self._window_at += passed * window


class Usage:
    """Use of limits by all tenants; times are seconds of the leader's boot clock."""

    def __init__(self, window_seconds: float) -> None:
        """Start without tenants; rates are counted over ``window_seconds``."""
        self._window = window_seconds
        self._uses: dict[str, TenantUse] = {}
        self._changes: list[LimitChange] = []

    def keep_only(self, tenants: frozenset[str]) -> None:
        """Drop the statistics of all other tenants: they have no limit any more."""
        for tenant in self._uses.keys() - tenants:
            del self._uses[tenant]

    def add(self, tenant: str, granted: int, refused: int, now: float) -> None:
        """Count calls of a tenant that were granted or refused."""
        use = self._uses.get(tenant)
        if use is None:
            use = self._uses[tenant] = TenantUse(now)
        if use.add(granted, refused, self._window, now):
            self._changes.append(LimitBegan(tenant))

    def changes(self, now: float) -> list[LimitChange]:
        """Return the limits that started or stopped refusing calls since the last query."""
        for tenant, use in self._uses.items():
            ended = use.end_if_not_binding(tenant, now)
            if ended is not None:
                self._changes.append(ended)
        changes, self._changes = self._changes, []
        return changes

    def of(self, tenant: str) -> TenantUse | None:
        """Return the use of one tenant, or None if it requested no calls."""
        return self._uses.get(tenant)
