"""Evidence of a small made-up run, for the tests of its judges."""

from peppershore.connection.messages.relay import CommittedEdit
from peppershore.version.model import Edit, Overrides, SetOverrides
from peppershore_lab.convergence import VersionHeld
from peppershore_lab.experiments.availability import Availability
from peppershore_lab.experiments.definition import Experiment
from peppershore_lab.experiments.evidence import Evidence, roles_of
from peppershore_lab.experiments.marks import Span
from peppershore_lab.fleet.addresses import AddressBlock
from peppershore_lab.fleet.deployment import REFUND_NETWORK
from peppershore_lab.fleet.plan import lay_out
from peppershore_lab.fleet.tree_edit import creating_edit
from peppershore_lab.reference import Reference, needed_by, scope_of

EXPERIMENT = Experiment(
    name="made-up",
    title="Made up",
    shows="nothing",
    deployment="refund-network",
    duration_seconds=30.0,
)
RUN = Span(100.0, 140.0)
FIRST_VERSION = 3
CHANGED_VERSION = 5
ACCEPTED_AT = 110.0


def _layout():
    block = AddressBlock()
    layout = lay_out(REFUND_NETWORK, block)
    block.close()
    return layout


LAYOUT = _layout()
SCOPES = {proxy.name: scope_of(proxy) for proxy in LAYOUT.proxies}
MOVE = Edit("move", (SetOverrides("/statusdesk/*/status", Overrides(target="kuitti")),))


def reference():
    edits = (
        CommittedEdit(FIRST_VERSION, creating_edit(REFUND_NETWORK)),
        CommittedEdit(CHANGED_VERSION, MOVE),
    )
    return Reference(REFUND_NETWORK.cluster, sorted(set(SCOPES.values())), edits)


REFERENCE = reference()
NEEDED = needed_by(REFERENCE, CHANGED_VERSION, LAYOUT.proxies)


def held(proxy, at, version, digest=None):
    """What a proxy logs that holds the right content of a version."""
    right = REFERENCE.digest_at(SCOPES[proxy], version)
    return VersionHeld(proxy, at, version, right if digest is None else digest)


def everything_held(delay=0.1):
    before = [held(proxy, 90.0, FIRST_VERSION) for proxy in SCOPES]
    after = [held(proxy, ACCEPTED_AT + delay, CHANGED_VERSION) for proxy in NEEDED]
    return (*before, *after)


def evidence(**changed):
    """A run in which all went well, with the fields given instead."""
    marks = changed.pop("marks", ())
    fields = {
        "experiment": EXPERIMENT,
        "layout": LAYOUT,
        "run": RUN,
        "marks": marks,
        "reference": REFERENCE,
        "held": everything_held(),
        "accepted": {FIRST_VERSION: 90.0, CHANGED_VERSION: ACCEPTED_AT},
        "edits": (),
        "calls": (),
        "runs": (),
        "availability": Availability(roles_of(LAYOUT), marks, RUN),
    }
    return Evidence(**(fields | changed))
