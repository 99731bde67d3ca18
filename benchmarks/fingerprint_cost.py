"""Processor time of knowing a request again, by what it carries.

    python -m benchmarks.fingerprint_cost

One JSON line a case: microseconds of this process for one request, in the median of some
rounds.  "head" is what every call pays at its caller's node, "look-up" what it pays while
suspects are known; a body costs its caller's node and its back end's own node as much each.
"""

from __future__ import annotations

import json
import statistics
import time
from collections.abc import Callable

from peppershore.connection.http_head import RequestHead
from peppershore.request.fingerprint import BODY_BYTES, Fingerprint, identity_of
from peppershore.request.quarantine import Quarantine, Suspect
from peppershore.request.recent_keys import RecentKeys

ROUNDS = 15
REQUESTS = 2_000
SMALL_BODY = b"x" * 1_500
LARGE_BODY = b"x" * BODY_BYTES
SUSPECTS = 500
HEAD = RequestHead(b"GET", b"/a/55aaa3?page=3", [(b"host", b"kassa.example")], 0)
IDENTITY = identity_of(HEAD, "")


def no_body() -> None:
    """A request without a body: its key is that of its head."""
    fingerprint = Fingerprint(IDENTITY)
    fingerprint.end()
    assert fingerprint.key


def with_body(body: bytes) -> None:
    """A request whose body comes in one piece."""
    fingerprint = Fingerprint(IDENTITY)
    fingerprint.add(body)
    fingerprint.end()
    assert fingerprint.key


def known_suspects() -> Quarantine:
    """Give a quarantine of requests under which two back ends ended each."""
    table = Quarantine()
    for number in range(SUSPECTS):
        suspect = Suspect(b"head-%d" % number, b"key-%d" % number)
        for life in ("one", "two"):
            table.record_crash(suspect, life, 0.0)
    return table


def microseconds(work: Callable[[], object]) -> float:
    """Give the median over rounds of the processor time of one run."""
    rounds = []
    for _ in range(ROUNDS):
        begun = time.process_time()
        for _ in range(REQUESTS):
            work()
        rounds.append((time.process_time() - begun) / REQUESTS * 1e6)
    return statistics.median(rounds)


def main() -> None:
    """Measure every case."""
    table = known_suspects()
    recent = RecentKeys()
    cases: dict[str, Callable[[], object]] = {
        "head": lambda: identity_of(HEAD, ""),
        "no body": no_body,
        "body of 1,500 octets": lambda: with_body(SMALL_BODY),
        "body of 64 KiB and more": lambda: with_body(LARGE_BODY),
        "remembering a good end": lambda: recent.add(IDENTITY),
        "look-up": lambda: table.concerns(IDENTITY),
        "digest of 500 suspects": table.digest,
    }
    for name, work in cases.items():
        print(json.dumps({"case": name, "microseconds": round(microseconds(work), 2)}))


if __name__ == "__main__":
    main()
