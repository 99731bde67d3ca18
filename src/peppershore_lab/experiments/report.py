"""One HTML page for one result: verdicts, figures, plots; no outside asset."""

from __future__ import annotations

import base64
import html
from collections.abc import Iterable, Sequence
from pathlib import Path

from peppershore_lab.experiments.figures import figure_rows
from peppershore_lab.experiments.plots import draw_all
from peppershore_lab.experiments.result import ExperimentResult, MarkShown
from peppershore_lab.experiments.verdict import Verdict

STYLE = """
body { font-family: system-ui, sans-serif; max-width: 60rem; margin: 2rem auto;
       padding: 0 1rem; color: #222; }
table { border-collapse: collapse; margin: 0.5rem 0 1.5rem; }
td, th { border-bottom: 1px solid #ddd; padding: 0.25rem 0.75rem; text-align: left;
         vertical-align: top; }
.held { color: #06752a; } .broken { color: #b00020; font-weight: bold; }
.not-judged { color: #777; }
img { max-width: 100%; }
"""


def write_report(path: Path, result: ExperimentResult) -> None:
    """Write the page."""
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(render_report(result), encoding="utf-8")


def render_report(result: ExperimentResult) -> str:
    """Give the page's text."""
    experiment = result.experiment
    verdict = "every judged promise held" if result.clean else "A PROMISE BROKE"
    parts = [
        "<!doctype html><html lang='en'><head><meta charset='utf-8'>",
        f"<title>{html.escape(experiment.title)}</title><style>{STYLE}</style></head>",
        f"<body><h1>{html.escape(experiment.title)}</h1>",
        f"<p>{html.escape(experiment.shows)}</p>",
        f"<p class='{'held' if result.clean else 'broken'}'>{verdict}</p>",
        "<h2>Promises</h2>",
        _verdicts(result.verdicts),
        "<h2>Figures</h2>",
        _table(("what", "measured"), figure_rows(result)),
        "<h2>Faults</h2>",
        _table(("seconds", "fault", "targets", "seen"), map(_mark_row, result.marks)),
    ]
    if result.plain_verdicts:
        parts += ["<h2>The plain proxy's calls by the same rules</h2>"]
        parts += [_verdicts(result.plain_verdicts)]
    for title, image in draw_all(result).items():
        data = base64.b64encode(image).decode("ascii")
        parts += [f"<h2>{html.escape(title)}</h2>"]
        parts += [f"<img alt='{html.escape(title)}' src='data:image/png;base64,{data}'>"]
    return "\n".join([*parts, "</body></html>\n"])


def _verdicts(verdicts: Iterable[Verdict]) -> str:
    rows = [
        f"<tr><td class='{each.state.replace(' ', '-')}'>{each.state}</td>"
        f"<td>{html.escape(each.promise)}{_details(each)}</td><td>{each.judged}</td></tr>"
        for each in verdicts
    ]
    head = "<tr><th>verdict</th><th>promise</th><th>records judged</th></tr>"
    return f"<table>{head}{''.join(rows)}</table>"


def _details(verdict: Verdict) -> str:
    if not verdict.details:
        return ""
    lines = "<br>".join(html.escape(line) for line in verdict.details)
    return f"<br><small>{verdict.broken} in all:<br>{lines}</small>"


def _table(head: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    cells = "".join(f"<th>{html.escape(name)}</th>" for name in head)
    body = "".join(
        "<tr>" + "".join(f"<td>{html.escape(cell)}</td>" for cell in row) + "</tr>"
        for row in rows
    )
    return f"<table><tr>{cells}</tr>{body}</table>"


def _mark_row(mark: MarkShown) -> tuple[str, str, str, str]:
    ended = "end" if mark.ended is None else f"{mark.ended:.1f}"
    times = f"{mark.began:.1f} to {ended}"
    return times, mark.action, ", ".join(mark.targets), mark.detail
