"""Weighted targets of a route, written "service=weight" in the tree."""

from __future__ import annotations

import re
from collections.abc import Iterable
from typing import TypeGuard

from peppershore.version.model import Value
from peppershore.version.path import NAME_PATTERN

MAXIMUM_SPLITS = 32
MAXIMUM_WEIGHT = 1_000_000
SPLIT_RULE = (
    f"1 to {MAXIMUM_SPLITS} items service=weight, weights 0 to {MAXIMUM_WEIGHT}, "
    "not all of them 0"
)

_SPLIT = re.compile(rf"({NAME_PATTERN.pattern})=([0-9]{{1,7}})")


class WeightedTarget(Value, frozen=True):
    """A service and its share of a route's calls: weight over the sum of weights."""

    service: str
    weight: int


def format_split(target: WeightedTarget) -> str:
    """Return the text "service=weight" of a weighted target."""
    return f"{target.service}={target.weight}"


def parse_splits(texts: Iterable[str]) -> tuple[WeightedTarget, ...]:
    """Return the weighted targets of texts that ``are_splits`` accepted."""
    targets: list[WeightedTarget] = []
    for text in texts:
        service, _, weight = text.partition("=")
        targets.append(WeightedTarget(service, int(weight)))
    return tuple(targets)


def are_splits(value: object) -> TypeGuard[tuple[str, ...]]:
    """Report whether a value is a valid ``splits`` setting of a route."""
    if not isinstance(value, tuple) or not 1 <= len(value) <= MAXIMUM_SPLITS:
        return False
    if not all(isinstance(text, str) and _SPLIT.fullmatch(text) for text in value):
        return False
    weights = [target.weight for target in parse_splits(value)]
    return max(weights) <= MAXIMUM_WEIGHT and sum(weights) > 0


def split_services(texts: Iterable[str]) -> frozenset[str]:
    """Return the services that the splits of a route name."""
    return frozenset(target.service for target in parse_splits(texts))
