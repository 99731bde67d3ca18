"""The twin fleet of the plain proxy: equal back ends, plain proxies, equal callers."""

from __future__ import annotations

import asyncio
from collections import defaultdict

import msgspec

from peppershore_lab.calls.plan import CallerPlan
from peppershore_lab.experiments.plain_proxy import PlainProxyPlan
from peppershore_lab.fleet.addresses import HTTP_PORT
from peppershore_lab.fleet.fleet import Fleet
from peppershore_lab.fleet.managed_process import ManagedProcess
from peppershore_lab.fleet.members import BackendMember, NodeMember

PREFIX = "plain-"


def twin_name(name: str) -> str:
    """Give the name of a process's twin."""
    return f"{PREFIX}{name}"


class TwinFleet:
    """Runs beside a fleet, under the same load."""

    def __init__(self, fleet: Fleet) -> None:
        """Lay it out; ``start`` starts it."""
        self._fleet = fleet
        self.backends = tuple(
            _twin_backend(member, fleet.new_host()) for member in fleet.layout.backends
        )
        self._proxies = tuple(
            msgspec.structs.replace(edge, name=twin_name(edge.name), host=fleet.new_host())
            for edge in fleet.layout.edges
        )

    async def start(self) -> None:
        """Start the back ends and the proxies."""
        await self._fleet.start_more_backends(self.backends)
        for proxy in self._proxies:
            self._start_proxy(proxy)
        await asyncio.gather(
            *(self._fleet.wait_listening(proxy) for proxy in self._proxies)
        )

    def start_callers(self, plans: list[CallerPlan]) -> list[ManagedProcess]:
        """Start twins of callers, which call the plain proxies."""
        twins = {
            edge.http_address: proxy.http_address
            for edge, proxy in zip(self._fleet.layout.edges, self._proxies, strict=True)
        }
        return [self._fleet.start_caller(self._twin_plan(plan, twins)) for plan in plans]

    def _twin_plan(self, plan: CallerPlan, twins: dict[str, str]) -> CallerPlan:
        caller = twin_name(plan.caller)
        return msgspec.structs.replace(
            plan,
            caller=caller,
            nodes=tuple(twins[node] for node in plan.nodes),
            journal=str(self._fleet.journal_path(caller)),
            summary=str(self._fleet.folder / f"{caller}.json"),
        )

    def _start_proxy(self, proxy: NodeMember) -> None:
        by_service: dict[str, list[str]] = defaultdict(list)
        for backend in self.backends:
            by_service[backend.service].append(backend.http_address)
        plan = PlainProxyPlan(
            listen=f"{proxy.host}:{HTTP_PORT}",
            backends={name: tuple(each) for name, each in by_service.items()},
        )
        path = self._fleet.folder / "settings" / f"{proxy.name}.json"
        path.write_bytes(msgspec.json.encode(plan))
        self._fleet.start_lab_process(proxy.name, ("plain-proxy", "--plan", str(path)))


def _twin_backend(member: BackendMember, host: str) -> BackendMember:
    return msgspec.structs.replace(member, name=twin_name(member.name), host=host)
