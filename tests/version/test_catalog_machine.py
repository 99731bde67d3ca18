"""Two catalogs and their holders under random edits, loss, duplication, reordering.

One catalog applies every edit at once; the other lags and is sometimes loaded again.
Holders request updates from either of them. Updates are lost, duplicated and reordered,
and holders restart without state. In each state, a holder must have the complete
snapshot of one version, or the empty one if it has received none.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from returns.result import Success
from tests.version.tree_strategies import STARTING_OPERATIONS, edits, visible_changes
from tests.version.trees import applied, edit_of

from peppershore.version.catalog import ScopeCatalog
from peppershore.version.closure import find_gaps
from peppershore.version.editor import AppliedEdit
from peppershore.version.model import (
    Operation,
    Scope,
    Snapshot,
    Tree,
    Update,
    Version,
)
from peppershore.version.snapshot import apply_update, empty_snapshot
from peppershore.version.tree import apply_edit, empty_tree

SCOPES = (Scope("a", "north"), Scope("a", "south"), Scope("b", "north"), Scope("c", "east"))
DISTURBANCES = (
    "holder restarts without memory",
    "catalog forgets",
    "catalog restarts",
    "catalog loads",
)
scopes = st.sampled_from(SCOPES)


def fresh_snapshot(tree: Tree, scope: Scope) -> Snapshot:
    catalog = ScopeCatalog()
    catalog.load(tree)
    return catalog.snapshot(scope)


class CatalogMachine(RuleBasedStateMachine):
    @initialize()
    def begin(self) -> None:
        self.tree = applied(empty_tree("test"), *STARTING_OPERATIONS).tree
        self.trees: dict[Version, Tree] = {self.tree.version: self.tree}
        self.current = ScopeCatalog()
        self.current.load(self.tree)
        self.lagging = ScopeCatalog()
        self.lagging.load(self.tree)
        self.backlog: list[AppliedEdit] = []
        self.held: dict[Scope, Snapshot] = {each: empty_snapshot(each) for each in SCOPES}
        self.floors: dict[Scope, Version] = dict.fromkeys(SCOPES, 0)
        self.in_flight: list[Update] = []

    @rule(operations=edits)
    def edit(self, operations: tuple[Operation, ...]) -> None:
        outcome = apply_edit(self.tree, edit_of(*operations), self.tree.version + 1)
        if not isinstance(outcome, Success):
            return
        change = outcome.unwrap()
        before = {each: self.current.digest(each) for each in SCOPES}
        self.tree = change.tree
        self.trees[self.tree.version] = self.tree
        affected = self.current.advance(change)
        assert affected == self.current.affected(change)
        assert set(affected) == {
            each for each in SCOPES if self.current.digest(each) != before[each]
        }
        self.backlog.append(change)

    @rule(operation=visible_changes)
    def edit_visibly(self, operation: Operation) -> None:
        self.edit((operation,))

    @rule(count=st.integers(1, 4))
    def lagging_catalog_advances(self, count: int) -> None:
        if self.backlog:
            self.lagging.advance_all(self.backlog[:count])
            del self.backlog[:count]

    @rule(disturbance=st.sampled_from(DISTURBANCES), scope=scopes)
    def disturb(self, disturbance: str, scope: Scope) -> None:
        if disturbance == "holder restarts without memory":
            self.held[scope] = empty_snapshot(scope)
            return
        if disturbance == "catalog forgets":
            self.lagging.forget(scope)
            return
        if disturbance == "catalog restarts":
            self.lagging = ScopeCatalog()
        self.lagging.load(self.tree)
        self.backlog.clear()

    @rule(scope=scopes, from_lagging=st.booleans())
    def ask(self, scope: Scope, from_lagging: bool) -> None:
        catalog = self.lagging if from_lagging else self.current
        held = self.held[scope]
        update = catalog.update_since(scope, held.version, held.digest)
        if update is not None:
            assert update.version == catalog.version
            self.in_flight.append(update)

    @rule(scope=scopes, from_lagging=st.booleans())
    def ask_and_receive(self, scope: Scope, from_lagging: bool) -> None:
        self.ask(scope, from_lagging)
        if self.in_flight:
            self.take(self.in_flight.pop())

    @rule(choice=st.integers(0, 1_000), comes_again=st.booleans())
    def deliver(self, choice: int, comes_again: bool) -> None:
        if not self.in_flight:
            return
        position = choice % len(self.in_flight)
        update = self.in_flight[position]
        if not comes_again:
            del self.in_flight[position]
        self.take(update)

    @rule(choice=st.integers(0, 1_000))
    def lose(self, choice: int) -> None:
        if self.in_flight:
            del self.in_flight[choice % len(self.in_flight)]

    def take(self, update: Update) -> None:
        former = self.held[update.scope]
        if update.version < self.floors[update.scope]:
            return
        outcome = apply_update(former, update)
        if isinstance(outcome, Success):
            snapshot = outcome.unwrap()
            assert snapshot.version > former.version
            self.held[update.scope] = snapshot
            self.floors[update.scope] = snapshot.version
        else:
            kind = outcome.failure().kind
            assert kind in ("not-newer", "other-base"), outcome

    @invariant()
    def each_holder_holds_all_of_one_version(self) -> None:
        for scope, held in self.held.items():
            if held.version == 0:
                assert held == empty_snapshot(scope)
                continue
            assert held == fresh_snapshot(self.trees[held.version], scope)
            assert find_gaps(scope, held.resources.values()) == ()
            assert held.version >= self.floors[scope]

    def teardown(self) -> None:
        if not hasattr(self, "tree"):
            return
        for scope in SCOPES:
            held = self.held[scope]
            update = self.current.update_since(scope, held.version, held.digest)
            if update is not None:
                self.take(update)
            final = fresh_snapshot(self.tree, scope)
            assert self.held[scope].digest == final.digest
            assert self.held[scope].resources == final.resources


class TestCatalogMachine(CatalogMachine.TestCase):  # type: ignore[name-defined]
    settings = settings(max_examples=150, stateful_step_count=60)
