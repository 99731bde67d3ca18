"""Changes of a tenant's keys by operators who see only fingerprints of the keys."""

from __future__ import annotations

from returns.result import Failure, Result, Success

from peppershore.version.tenants import is_fingerprint, key_fingerprint

Reasons = tuple[str, ...]
"""Why a change of keys is refused; no text contains a key."""


def change_keys(
    keys: tuple[str, ...], add: tuple[str, ...], drop: tuple[str, ...]
) -> Result[tuple[str, ...], Reasons]:
    """Return the keys without those whose fingerprints are in ``drop``, then ``add``.

    Return the reasons instead if any part of the change is refused.
    """
    reasons = [*_reasons_against_drop(keys, drop), *_reasons_against_add(keys, add)]
    if reasons:
        return Failure(tuple(reasons))
    kept = tuple(key for key in keys if key_fingerprint(key) not in drop)
    return Success(kept + add)


def _reasons_against_drop(keys: tuple[str, ...], drop: tuple[str, ...]) -> list[str]:
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


def _reasons_against_add(keys: tuple[str, ...], add: tuple[str, ...]) -> list[str]:
    known = set(keys)
    reasons: list[str] = []
    for key in add:
        if key in known:
            reasons.append(f"has the key with the fingerprint {key_fingerprint(key)}")
        known.add(key)
    return reasons
