"""A service that is new to a node: its endpoints arrive before its routes."""

from __future__ import annotations

from tests.relay.site import Site

from peppershore.process.events import Event
from peppershore.process.node.commands import ConfigurationSwapped
from peppershore.process.node.core import NodeCore
from peppershore.version.model import Overrides, SetOverrides

BOUND_SECONDS = 5.0


def _kassa_calls(*services: str) -> tuple[SetOverrides, ...]:
    return (SetOverrides("/kassa", Overrides(calls=services)),)


def _endpoints_at_each_swap(core: NodeCore, service: str) -> list[set[str]]:
    """Collect the nodes of a service's known endpoints at each configuration swap.

    The returned list grows as the node runs.
    """
    seen: list[set[str]] = []
    inner = core.step

    def step(event: Event, now: float) -> list:
        out = inner(event, now)
        if any(isinstance(each, ConfigurationSwapped) for each in out):
            known = core.known.endpoints
            seen.append({each.node for each in known if each.service == service})
        return out

    core.step = step  # type: ignore[method-assign]
    return seen


def test_endpoints_of_a_new_service_arrive_before_its_routes() -> None:
    site = Site()
    site.edit(_kassa_calls())
    caller = site.start_node("k", "kassa")
    site.start_node("a", "kuitti")
    site.start_node("b", "kuitti")
    site.make_ready("a", "b")
    site.network.run(20.0)
    assert {each.node for each in caller.known.endpoints} == {"k"}
    seen = _endpoints_at_each_swap(caller, "kuitti")
    site.edit(_kassa_calls("kuitti"))
    site.network.run(BOUND_SECONDS)
    assert seen == [{"a", "b"}]


def test_a_service_no_longer_held_is_removed_and_returns_complete() -> None:
    site = Site()
    caller = site.start_node("k", "kassa")
    site.start_node("a", "kuitti")
    site.make_ready("a")
    site.network.run(20.0)
    site.edit(_kassa_calls())
    site.network.run(BOUND_SECONDS)
    assert {each.node for each in caller.known.endpoints} == {"k"}
    site.start_node("b", "kuitti")
    site.make_ready("b")
    site.network.run(BOUND_SECONDS)
    seen = _endpoints_at_each_swap(caller, "kuitti")
    site.edit(_kassa_calls("kuitti"))
    site.network.run(BOUND_SECONDS)
    assert seen == [{"a", "b"}]
