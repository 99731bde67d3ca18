"""HTTP API with which operators list the quarantine and release requests.

``GET /quarantine`` lists the requests under which two or more back ends crashed.
``POST /quarantine/FINGERPRINT/release`` allows a request to run again: 200, or 404 if the
request is not known.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from peppershore.process.http_service import JSON, ServiceAnswer, ServiceRequest
from peppershore.request.quarantine import Quarantine, Standing

ROOT = "quarantine"
RELEASE = "release"
NOT_FOUND = 404
METHOD_NOT_ALLOWED = 405
MILLISECONDS = 1_000


class QuarantinedRequest(msgspec.Struct, frozen=True):
    """A listed request; ``hold_milliseconds`` is the remaining time of its hold."""

    fingerprint: str
    standing: Standing
    lives: tuple[str, ...]
    last_end_milliseconds_ago: int
    hold_milliseconds: int


class QuarantineList(msgspec.Struct, frozen=True):
    """All listed requests, those with the most crashes first."""

    requests: tuple[QuarantinedRequest, ...]


class ReleasedRequest(msgspec.Struct, frozen=True):
    """The request that was released."""

    fingerprint: str


class QuarantineError(msgspec.Struct, frozen=True):
    """Body of an error answer: why the HTTP request failed."""

    error: str


class QuarantineApi:
    """Answers the HTTP requests of operators at a relay or hub."""

    def __init__(
        self,
        table: Quarantine,
        clock: Callable[[], float],
        release: Callable[[bytes], None],
    ) -> None:
        """Serve ``table``; ``release`` allows the request with a given key to run again."""
        self._table = table
        self._clock = clock
        self._release = release

    async def answer(self, request: ServiceRequest) -> ServiceAnswer:
        """Answer one HTTP request."""
        match request.path.strip("/").split("/"):
            case [root] if root == ROOT:
                if request.method not in ("GET", "HEAD"):
                    return _error(METHOD_NOT_ALLOWED, "GET")
                return _answer(self._listed())
            case [root, fingerprint, what] if root == ROOT and what == RELEASE:
                if request.method != "POST":
                    return _error(METHOD_NOT_ALLOWED, "POST")
                return self._released(fingerprint)
            case _:
                return _error(NOT_FOUND, f"/{ROOT} or /{ROOT}/FINGERPRINT/{RELEASE}")

    def _listed(self) -> QuarantineList:
        now = self._clock()
        records = sorted(
            self._table.notable(now), key=lambda each: (-len(each.lives), each.key)
        )
        return QuarantineList(
            tuple(
                QuarantinedRequest(
                    fingerprint=each.key.hex(),
                    standing=self._table.standing(each.key, now),
                    lives=each.lives,
                    last_end_milliseconds_ago=each.age_milliseconds,
                    hold_milliseconds=round(
                        self._table.hold_left_seconds(each.key, now) * MILLISECONDS
                    ),
                )
                for each in records
                if each.lives
            )
        )

    def _released(self, fingerprint: str) -> ServiceAnswer:
        try:
            key = bytes.fromhex(fingerprint)
        except ValueError:
            return _error(NOT_FOUND, f"{fingerprint!r} is no fingerprint")
        if not self._table.crash_count(key):
            return _error(NOT_FOUND, "no back end is known to have ended under it")
        self._release(key)
        return _answer(ReleasedRequest(key.hex()))


def _answer(body: msgspec.Struct) -> ServiceAnswer:
    return ServiceAnswer(body=msgspec.json.encode(body), content_type=JSON)


def _error(status: int, reason: str) -> ServiceAnswer:
    return ServiceAnswer(status, msgspec.json.encode(QuarantineError(reason)), JSON)
