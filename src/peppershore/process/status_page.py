"""Status page of a control replica: read-only HTML without external assets.

It shows the configuration tree (of secrets no key material, of tenants only their number),
the version in force in each zone, the lagging nodes with the reason, the replicas and the
relays. The browser reloads the page automatically.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from html import escape

import msgspec

from peppershore.connection.messages.operators import RelayStatus, StatusAnswered
from peppershore.process.admin_http import HTML, Page
from peppershore.process.status_remarks import is_silent, status_remarks
from peppershore.version.model import Tree, Version
from peppershore.version.resolve import set_values

STATUS_PATH = "/status"
REFRESH_SECONDS = 2
UNKNOWN = "-"
_STYLE = """
body { font: 15px/1.5 system-ui, sans-serif; margin: 2rem; color: #1c1c1c;
  background: #fff; }
h1 { font-size: 1.4rem; } h2 { font-size: 1.1rem; margin-top: 2rem; }
table { border-collapse: collapse; } th, td { text-align: left;
  padding: .25rem .9rem .25rem 0; border-bottom: 1px solid #ddd; vertical-align: top; }
.behind { color: #a30000; font-weight: 600; } .quiet { color: #555; }
@media (prefers-color-scheme: dark) { body { color: #e4e4e4; background: #161616; }
  th, td { border-color: #3a3a3a; } .behind { color: #ff8a80; } .quiet { color: #aaa; } }
"""


class Cell(msgspec.Struct, frozen=True):
    """One cell of a table; ``behind`` highlights a value that needs attention."""

    text: str
    behind: bool = False


class ZoneProgress(msgspec.Struct, frozen=True):
    """Progress of one zone: the version in force, its relays, nodes and lagging nodes."""

    zone: str
    in_force: Version
    relays: int
    nodes: int
    lagging: int


def status_page(status: StatusAnswered, tree: Tree) -> Page:
    """Return the complete page; ``status`` and ``tree`` are as known to the replica."""
    return Page(render_status(status, tree).encode(), HTML)


def zone_progress(relays: Iterable[RelayStatus]) -> tuple[ZoneProgress, ...]:
    """Return the version in force and the counts of relays and nodes of each zone.

    The version in force in a zone is the lowest of those of its relays.
    """
    by_zone: dict[str, list[RelayStatus]] = {}
    for relay in relays:
        by_zone.setdefault(relay.zone, []).append(relay)
    return tuple(
        ZoneProgress(
            zone=zone,
            in_force=min(relay.in_force for relay in members),
            relays=len(members),
            nodes=sum(relay.nodes for relay in members),
            lagging=sum(len(relay.lagging) for relay in members),
        )
        for zone, members in sorted(by_zone.items())
    )


def render_status(status: StatusAnswered, tree: Tree) -> str:
    """Return the HTML of the page, with all variable text escaped."""
    title = f"{status.cluster}: version {status.version}"
    sections = (
        _summary(status, tree),
        _render_section(
            "Zones", ("Zone", "In force", "Relays", "Nodes", "Lagging"), _zone_rows(status)
        ),
        _render_section(
            "Lagging nodes",
            ("Node", "Service", "Zone", "Holds", "Relay", "Reason"),
            _lagging_rows(status),
        ),
        _render_section(
            "Replicas",
            ("Replica", "Address", "Role", "Term", "Log synced to", "Voter"),
            _replica_rows(status),
        ),
        _render_section(
            "Relays",
            (
                "Relay",
                "Zone",
                "Version",
                "In force",
                "Nodes",
                "Control bytes",
                "Report age",
            ),
            _relay_rows(status),
        ),
        _render_section("Tree", ("Path", "Revision", "Setting", "Value"), _tree_rows(tree)),
        _render_section(
            "Secrets", ("Secret", "Generations", "Signing", "Revision"), _secret_rows(tree)
        ),
    )
    return (
        '<!doctype html><html lang="en"><head><meta charset="utf-8">'
        f'<meta http-equiv="refresh" content="{REFRESH_SECONDS}">'
        f"<title>{escape(title)}</title><style>{_STYLE}</style></head>"
        f"<body><h1>{escape(title)}</h1>{''.join(sections)}</body></html>\n"
    )


def _summary(status: StatusAnswered, tree: Tree) -> str:
    lines = [
        f"In force everywhere: version {status.in_force}.",
        f"Leader: {status.leader or 'unknown'}.  Answered by {status.replica}.",
    ]
    if tree.tenants:
        lines.append(f"Tenants: {len(tree.tenants)}.")
    summary = "".join(f"<p>{escape(line)}</p>" for line in lines)
    remarks = "".join(f"<li>{escape(line)}</li>" for line in status_remarks(status))
    return f'{summary}<ul class="behind">{remarks}</ul>' if remarks else summary


def _zone_rows(status: StatusAnswered) -> list[Sequence[Cell]]:
    return [
        (
            Cell(item.zone),
            Cell(str(item.in_force), behind=item.in_force < status.version),
            Cell(str(item.relays)),
            Cell(str(item.nodes)),
            Cell(str(item.lagging), behind=item.lagging > 0),
        )
        for item in zone_progress(status.relays)
    ]


def _lagging_rows(status: StatusAnswered) -> list[Sequence[Cell]]:
    return [
        (
            Cell(node.node),
            Cell(node.service),
            Cell(node.zone),
            Cell(str(node.version), behind=True),
            Cell(relay.relay),
            Cell(node.reason),
        )
        for relay in status.relays
        for node in relay.lagging
    ]


def _replica_rows(status: StatusAnswered) -> list[Sequence[Cell]]:
    return [
        (
            Cell(item.replica),
            Cell(item.address),
            Cell(item.role),
            Cell(str(item.term)),
            _match_cell(item.match_version, status.version),
            Cell("yes" if item.voter else "no"),
        )
        for item in status.replicas
    ]


def _match_cell(match_version: Version, version: Version) -> Cell:
    """Return the cell for the version up to which a replica's log is synced.

    Only the leader knows this of the other replicas; an unknown version (0) shows as "-".
    """
    if not match_version:
        return Cell(UNKNOWN)
    return Cell(str(match_version), behind=match_version < version)


def _relay_rows(status: StatusAnswered) -> list[Sequence[Cell]]:
    return [
        (
            Cell(item.relay),
            Cell(item.zone),
            Cell(str(item.version), behind=item.version < status.version),
            Cell(str(item.in_force), behind=item.in_force < status.version),
            Cell(str(item.nodes)),
            Cell(str(item.control_bytes)),
            Cell(
                f"{item.report_age_milliseconds} ms",
                behind=is_silent(item),
            ),
        )
        for item in status.relays
    ]


def _tree_rows(tree: Tree) -> list[Sequence[Cell]]:
    rows: list[Sequence[Cell]] = []
    for path, node in sorted(tree.nodes.items()):
        values = set_values(node.overrides) or {"": ""}
        for name, value in values.items():
            shown = msgspec.json.encode(value).decode() if name else ""
            rows.append((Cell(path), Cell(str(node.revision)), Cell(name), Cell(shown)))
    return rows


def _secret_rows(tree: Tree) -> list[Sequence[Cell]]:
    return [
        (
            Cell(name),
            Cell(", ".join(str(item.generation) for item in secret.generations)),
            Cell(str(secret.signing_generation)),
            Cell(str(secret.revision)),
        )
        for name, secret in sorted(tree.secrets.items())
    ]


def _render_section(
    title: str, header: Sequence[str], rows: Sequence[Sequence[Cell]]
) -> str:
    if not rows:
        return f'<h2>{escape(title)}</h2><p class="quiet">none</p>'
    head = "".join(f"<th>{escape(name)}</th>" for name in header)
    body = "".join(f"<tr>{''.join(map(_render_cell, row))}</tr>" for row in rows)
    return f"<h2>{escape(title)}</h2><table><tr>{head}</tr>{body}</table>"


def _render_cell(cell: Cell) -> str:
    mark = ' class="behind"' if cell.behind else ""
    return f"<td{mark}>{escape(cell.text)}</td>"
