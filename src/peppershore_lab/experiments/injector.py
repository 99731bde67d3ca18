"""Does the planned faults to a running fleet, undoes them, and keeps the marks."""

from __future__ import annotations

import asyncio
import shutil
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import msgspec

from peppershore_lab.calls.client import ClientAnswer, ClientConnection, ClientRequest
from peppershore_lab.experiments.definition import Action, FaultStep
from peppershore_lab.experiments.marks import FaultMark
from peppershore_lab.experiments.timeline import PlannedFault
from peppershore_lab.faulty_process import ProcessFaults, write_faults
from peppershore_lab.fleet.fleet import Fleet
from peppershore_lab.fleet.members import BackendMember
from peppershore_lab.fleet.readiness import NotReady, wait_listening, wait_ready
from peppershore_lab.links.model import Direction, DirectionChange, LinksChange
from peppershore_lab.operator_client import Operator
from peppershore_lab.standin.backend import CONTROL_PATH

STOP_BOUND_SECONDS = 35.0
READY_SECONDS = 15.0
DAMAGE_BYTES = 64
DAMAGE = b"\xa5" * DAMAGE_BYTES
CONTROL_SECONDS = 3.0
NO_FAULTS = ProcessFaults()
Progress = Callable[[str], None]


class Injector:
    """Carries out one run's faults."""

    def __init__(self, fleet: Fleet, operator: Operator, progress: Progress) -> None:
        """Nothing is done before ``run``."""
        self.marks: list[FaultMark] = []
        self._fleet = fleet
        self._operator = operator
        self._progress = progress
        self._undone = asyncio.Event()
        self._faults: dict[str, ProcessFaults] = {}

    async def run(self, planned: tuple[PlannedFault, ...], began: float) -> None:
        """Do every fault at its time after ``began`` (``time.monotonic``)."""
        async with asyncio.TaskGroup() as group:
            for fault in planned:
                group.create_task(self._carry_out(fault, began))

    def heal(self) -> None:
        """Undo now what lasts until the end of the run."""
        self._undone.set()

    async def _carry_out(self, fault: PlannedFault, began: float) -> None:
        await asyncio.sleep(max(0.0, began + fault.at_seconds - time.monotonic()))
        self._progress(f"{fault.at_seconds:5.1f} s  {_described(fault)}")
        await self._actions[fault.step.action](self, fault)

    async def _lasts(self, step: FaultStep) -> None:
        """Wait until the fault is to be undone."""
        try:
            async with asyncio.timeout(step.seconds or None):
                await self._undone.wait()
        except TimeoutError:
            return

    # --- processes -------------------------------------------------------------

    async def _kill(self, fault: PlannedFault) -> None:
        moment = time.time()
        for name in fault.targets:
            self._fleet.processes[name].kill()
        await self._lasts(fault.step)
        detail = await self._start_again(fault.targets)
        self._mark(fault, moment, time.time(), detail=detail)

    async def _freeze(self, fault: PlannedFault) -> None:
        moment = time.time()
        for name in fault.targets:
            self._fleet.processes[name].freeze()
        await self._lasts(fault.step)
        for name in fault.targets:
            self._fleet.processes[name].unfreeze()
        self._mark(fault, moment, time.time())

    async def _stop(self, fault: PlannedFault) -> None:
        moment = time.time()
        processes = [self._fleet.processes[name] for name in fault.targets]
        for process in processes:
            process.ask_to_stop()
        late = ""
        try:
            async with asyncio.timeout(STOP_BOUND_SECONDS):
                await asyncio.gather(*(process.ended() for process in processes))
        except TimeoutError:
            late = "did not stop in time"
        exited = time.time()
        for process in processes:
            process.wait_or_kill(0.0 if late else 1.0)
        await self._lasts(fault.step)
        detail = late or await self._start_again(fault.targets)
        self._mark(fault, moment, time.time(), exited=exited, detail=detail)

    async def _damage(self, fault: PlannedFault) -> None:
        moment = time.time()
        details: list[str] = []
        for name in fault.targets:
            self._fleet.processes[name].kill()
            path = self._fleet.data_path(name) / fault.step.file
            details.append(_overwrite(path))
        await self._lasts(fault.step)
        refusal = await self._start_again(fault.targets)
        if refusal and fault.step.wipe_damaged:
            details.append(f"refused: {refusal}")
            self._wipe(fault.targets)
            refusal = await self._start_again(fault.targets)
        detail = "; ".join([*details, refusal]).rstrip("; ")
        self._mark(fault, moment, time.time(), detail=detail)

    async def _replace(self, fault: PlannedFault) -> None:
        """Lose the disk for good, then bring a blank replica in as a new member."""
        moment = time.time()
        details: list[str] = []
        for name in fault.targets:
            self._fleet.processes[name].kill()
            shutil.rmtree(self._fleet.data_path(name))
            await self._lasts(fault.step)
            details += await self._rejoin(name)
        self._mark(fault, moment, time.time(), detail="; ".join(details))

    async def _rejoin(self, name: str) -> list[str]:
        member = self._fleet.members[name]
        address = self._fleet.links.address(member, member)
        removed = await self._operator.run("replica", "remove", name)
        self._fleet.data_path(name).mkdir()
        path = self._fleet.settings_path(name)
        settings = path.read_text().replace("join = false", "join = true")
        assert "join = true" in settings, "the settings name no join"
        path.write_text(settings)
        self._fleet.processes[name].start()
        added = await self._operator.run("replica", "add", name, address)
        problem = await self._ready((name,))
        texts = [removed.error.strip(), added.error.strip(), problem]
        return [text for text in texts if text]

    def _wipe(self, names: tuple[str, ...]) -> None:
        for name in names:
            self._fleet.processes[name].kill()
            shutil.rmtree(self._fleet.data_path(name))
            self._fleet.data_path(name).mkdir()

    async def _start_again(self, names: tuple[str, ...]) -> str:
        for name in names:
            if not self._fleet.processes[name].running:
                self._fleet.processes[name].start()
        return await self._ready(names)

    async def _ready(self, names: tuple[str, ...]) -> str:
        """Wait until the processes are ready; tell which aren't and why."""
        problems = await asyncio.gather(*(self._wait(name) for name in names))
        return "; ".join(f"{item.name}: {item.reason}" for item in problems if item)

    def _wait(self, name: str) -> Awaitable[NotReady | None]:
        member = self._fleet.members[name]
        process = self._fleet.processes[name]
        if isinstance(member, BackendMember):
            return wait_listening(process, member.http_address, READY_SECONDS)
        return wait_ready(process, member.admin_address, READY_SECONDS)

    # --- disks and clocks ------------------------------------------------------

    async def _inject(self, fault: PlannedFault) -> None:
        moment = time.time()
        step = fault.step
        for name in fault.targets:
            self._put(name, _with_fault(self._faults.get(name, NO_FAULTS), step))
        await self._lasts(step)
        for name in fault.targets:
            self._put(name, _without_fault(self._faults[name], step))
        self._mark(fault, moment, time.time())

    def _put(self, name: str, faults: ProcessFaults) -> None:
        self._faults[name] = faults
        write_faults(self._fleet.fault_path(name), faults)

    # --- links -----------------------------------------------------------------

    async def _change_links(self, fault: PlannedFault) -> None:
        moment = time.time()
        changed = _link_change(fault.step)
        await self._send(_on_directions(fault, changed, fault.step.action == "reset"))
        if fault.step.action != "reset":
            await self._lasts(fault.step)
            await self._undo_links(fault)
        self._mark(fault, moment, time.time())

    async def _undo_links(self, fault: PlannedFault) -> None:
        """Give each link what it had at the start of the run."""
        specs = {spec.name: spec for spec in self._fleet.links.specs}
        by_direction: dict[Direction, list[str]] = {}
        for name in fault.targets:
            by_direction.setdefault(specs[name].to_target, []).append(name)
        for direction, names in by_direction.items():
            restored = DirectionChange(**msgspec.to_builtins(direction))
            change = LinksChange(names=tuple(names), to_target=restored, to_source=restored)
            await self._send(change)

    async def _send(self, change: LinksChange) -> None:
        address = self._fleet.emulator.admin_address
        answer = await _post(address, "/", msgspec.json.encode(change))
        assert answer == 200, f"the link emulator answered {answer}"

    # --- back ends -------------------------------------------------------------

    async def _behave(self, fault: PlannedFault) -> None:
        moment = time.time()
        await self._post_behaviour(fault.targets, msgspec.json.encode(fault.step.change))
        await self._lasts(fault.step)
        members = self._fleet.members
        for name in fault.targets:
            member = members[name]
            assert isinstance(member, BackendMember)
            await self._post_behaviour((name,), msgspec.json.encode(member.behaviour))
        self._mark(fault, moment, time.time())

    async def _post_behaviour(self, names: tuple[str, ...], body: bytes) -> None:
        for name in names:
            address = self._fleet.members[name].http_address
            status = await _post(address, CONTROL_PATH, body)
            if status != 200:
                self._progress(f"{name} did not take its behaviour: {status}")

    def _mark(
        self,
        fault: PlannedFault,
        began: float,
        ended: float,
        *,
        exited: float | None = None,
        detail: str = "",
    ) -> None:
        mark = FaultMark(
            action=fault.step.action,
            targets=fault.targets,
            began=began,
            ended=ended,
            exited=exited,
            direction=fault.step.direction,
            detail=detail,
        )
        self.marks.append(mark)
        if detail:
            self._progress(f"         {fault.step.action}: {detail}")

    _actions: dict[Action, Callable[[Injector, PlannedFault], Awaitable[None]]] = {
        "kill": _kill,
        "freeze": _freeze,
        "stop": _stop,
        "replace": _replace,
        "damage-file": _damage,
        "cut": _change_links,
        "delay": _change_links,
        "duplicate": _change_links,
        "reset": _change_links,
        "slow-disk": _inject,
        "full-disk": _inject,
        "clock-jump": _inject,
        "behaviour": _behave,
    }


def _described(fault: PlannedFault) -> str:
    shown = ", ".join(fault.targets[:3])
    more = len(fault.targets) - 3
    return f"{fault.step.action} {shown}" + (f" and {more} more" if more > 0 else "")


def _with_fault(faults: ProcessFaults, step: FaultStep) -> ProcessFaults:
    if step.action == "slow-disk":
        delay = step.delay_milliseconds
        return msgspec.structs.replace(faults, sync_delay_milliseconds=delay)
    if step.action == "full-disk":
        return msgspec.structs.replace(faults, disk_full=True)
    return msgspec.structs.replace(faults, clock_offset_seconds=step.offset_seconds)


def _without_fault(faults: ProcessFaults, step: FaultStep) -> ProcessFaults:
    if step.action == "slow-disk":
        return msgspec.structs.replace(faults, sync_delay_milliseconds=0.0)
    if step.action == "full-disk":
        return msgspec.structs.replace(faults, disk_full=False)
    return msgspec.structs.replace(faults, clock_offset_seconds=0.0)


def _link_change(step: FaultStep) -> DirectionChange:
    if step.action == "cut":
        return DirectionChange(cut=True)
    if step.action == "delay":
        return DirectionChange(
            delay_milliseconds=step.delay_milliseconds,
            jitter_milliseconds=step.jitter_milliseconds,
        )
    if step.action == "duplicate":
        return DirectionChange(duplicate_share=step.duplicate_share)
    return DirectionChange()


def _on_directions(
    fault: PlannedFault, changed: DirectionChange, reset: bool
) -> LinksChange:
    unchanged = DirectionChange()
    direction = fault.step.direction
    return LinksChange(
        names=fault.targets,
        to_target=unchanged if direction == "to-source" else changed,
        to_source=unchanged if direction == "to-target" else changed,
        reset=reset,
    )


def _overwrite(path: Path) -> str:
    """Overwrite the middle of a file; tell what was done."""
    if not path.exists():
        return f"no file {path.name} to damage"
    size = path.stat().st_size
    with path.open("r+b") as file:
        file.seek(size // 2)
        file.write(DAMAGE)
    return f"{path.name} of {size} bytes overwritten in the middle"


async def _post(address: str, path: str, body: bytes) -> int:
    """POST to a control endpoint; 0: no answer."""
    connection = ClientConnection(address)
    try:
        async with asyncio.timeout(CONTROL_SECONDS):
            answer = await connection.call(ClientRequest("POST", path, (), body))
    except TimeoutError:
        return 0
    finally:
        connection.close()
    return answer.status if isinstance(answer, ClientAnswer) else 0
