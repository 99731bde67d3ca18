"""Changing a tenant's keys by those who see only fingerprints of them."""

from __future__ import annotations

from returns.result import Failure, Result, Success

from peppershore.version.tenants import is_fingerprint, key_fingerprint

Reasons = tuple[str, ...]
"""Why keys can't be changed so; no reason holds a key."""


def change_keys(
    keys: tuple[str, ...], add: tuple[str, ...], drop: tuple[str, ...]
) -> Result[tuple[str, ...], Reasons]:
    """Give the keys without those of the fingerprints in ``drop``, then ``add``."""
    reasons = [*_not_to_be_dropped(keys, drop), *_not_to_be_added(keys, add)]
    if reasons:
        return Failure(tuple(reasons))
    kept = tuple(key for key in keys if key_fingerprint(key) not in drop)
    return Success(kept + add)


def _not_to_be_dropped(keys: tuple[str, ...], drop: tuple[str, ...]) -> list[str]:
    held = [key_fingerprint(key) for key in keys]
    reasons: list[str] = []
    for fingerprint in dict.fromkeys(drop):
        count = held.count(fingerprint)
        if not is_fingerprint(fingerprint):
            reasons.append("what is to be dropped is no fingerprint of a key")
        elif count == 0:
            reasons.append(f"has no key with the fingerprint {fingerprint}")
        elif count > 1:
            reasons.append(f"has {count} keys with the fingerprint {fingerprint}")
    return reasons


def _not_to_be_added(keys: tuple[str, ...], add: tuple[str, ...]) -> list[str]:
    known = set(keys)
    reasons: list[str] = []
    for key in add:
        if key in known:
            reasons.append(f"has the key with the fingerprint {key_fingerprint(key)}")
        known.add(key)
    return reasons
