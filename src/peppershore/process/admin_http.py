"""HTTP listener of a process for metrics, health, readiness and admin pages.

Serves ``GET /metrics``, ``/healthz`` (200 while the event loop runs), ``/readyz`` (200 if
the process fulfils its role's readiness condition, else 503 with the reason) and the
pages of the role.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

import msgspec

from peppershore.process.http_service import (
    JSON,
    PLAIN_TEXT,
    Answerer,
    HttpService,
    ServiceAnswer,
    ServiceRequest,
)
from peppershore.process.metrics import METRICS_CONTENT_TYPE, ProcessMetrics

__all__ = ["HTML", "JSON", "AdminServer", "Page", "PageSource", "Readiness"]

HTML = "text/html; charset=utf-8"
MAX_CONNECTIONS = 64
_OK = 200
_NOT_FOUND = 404
_METHOD_NOT_ALLOWED = 405
_UNAVAILABLE = 503


class Readiness(msgspec.Struct, frozen=True):
    """Whether the process can do its work now, and the reason if it can't."""

    ready: bool
    reason: str = ""


class Page(msgspec.Struct, frozen=True):
    """One response of the admin listener."""

    body: bytes
    content_type: str = HTML
    status: int = _OK


PageSource = Callable[[str], Page]
"""Returns a page for the query string of the request (without "?")."""


class AdminServer:
    """Serves the admin pages of one process."""

    def __init__(
        self,
        metrics: ProcessMetrics,
        readiness: Callable[[], Readiness],
        pages: Mapping[str, PageSource] | None = None,
        services: Mapping[str, Answerer] | None = None,
    ) -> None:
        """Serve the standard pages, ``pages`` and ``services``.

        ``pages`` maps a path such as "/status" to its source; only GET and HEAD are
        allowed. ``services`` maps the first segment of a path to a handler, which gets
        requests of every method and has precedence over pages.
        """
        self._services = dict(services or {})
        self._pages: dict[str, PageSource] = {
            "/metrics": lambda _query: Page(metrics.render(), METRICS_CONTENT_TYPE),
            "/healthz": lambda _query: Page(b"ok\n", PLAIN_TEXT),
            "/readyz": lambda _query: _readiness_page(readiness()),
        }
        self._pages |= dict(pages or {})
        self._service = HttpService(self._answer, max_connections=MAX_CONNECTIONS)

    async def start(self, listen: str) -> int:
        """Listen on "IP:port" and return the bound port."""
        return await self._service.start(listen)

    async def close(self) -> None:
        """Stop listening and close open connections without completing their requests."""
        await self._service.close()

    async def _answer(self, request: ServiceRequest) -> ServiceAnswer:
        service = self._services.get(request.path.strip("/").partition("/")[0])
        if service is not None:
            return await service(request)
        page = self._page_for(request)
        return ServiceAnswer(page.status, page.body, page.content_type)

    def _page_for(self, request: ServiceRequest) -> Page:
        if request.method not in ("GET", "HEAD"):
            return Page(b"only GET is served here\n", PLAIN_TEXT, _METHOD_NOT_ALLOWED)
        source = self._pages.get(request.path)
        if source is None:
            known = ", ".join(sorted(self._pages))
            return Page(
                f"no such page; there are {known}\n".encode(), PLAIN_TEXT, _NOT_FOUND
            )
        return source(request.query)


def _readiness_page(readiness: Readiness) -> Page:
    if readiness.ready:
        return Page(b"ready\n", PLAIN_TEXT)
    return Page(f"not ready: {readiness.reason}\n".encode(), PLAIN_TEXT, _UNAVAILABLE)
