"""TLS contexts of a process, reloaded when its certificate files change.

Also decides which messages the certificate of a peer allows it to send.
"""

from __future__ import annotations

import asyncio
import ssl
import time
from collections.abc import Callable
from pathlib import Path
from typing import ClassVar

from returns.result import Failure

from peppershore.connection.authorization import Authorize, allow_all, authorizer
from peppershore.connection.identity import PeerIdentity, parse_identity
from peppershore.connection.tls import (
    ReloadingContext,
    TlsPaths,
    client_context,
    server_context,
)
from peppershore.process.commands import Notice
from peppershore.process.metrics import ProcessMetrics
from peppershore.process.settings import TlsFiles

RELOAD_SECONDS = 5.0

NoticeSink = Callable[[Notice], None]


class CertificateReloaded(Notice, frozen=True):
    """Changed certificate files were loaded and are used for new links."""


class CertificateReloadFailed(Notice, frozen=True):
    """Changed certificate files can't be used; the former certificate stays in use."""

    level: ClassVar[str] = "warning"
    reason: str


class UnusableCertificateError(OSError):
    """The process can't start with its certificate files; the message says why."""


class LinkSecurity:
    """TLS contexts and message permissions for the links of a role's shell.

    Without TLS files there are no contexts and every message is allowed. The constructor
    raises OSError when the files can't be used.
    """

    def __init__(self, role: str, files: TlsFiles | None) -> None:
        """Load the certificate files of a process with the given role.

        With ``files`` None the links use no TLS.
        """
        self.authorize: Authorize = allow_all
        self.client: ssl.SSLContext | None = None
        self.server: ssl.SSLContext | None = None
        self._reloading: tuple[ReloadingContext, ...] = ()
        self._timer: asyncio.TimerHandle | None = None
        if files is None:
            return
        paths = TlsPaths(files.certificate, files.key, files.authority)
        local_identity = _read_local_identity(paths, role)
        try:
            client = client_context(paths)
            server = server_context(paths)
        except (ssl.SSLError, ValueError) as problem:
            reason = f"the TLS files do not fit together: {problem}"
            raise UnusableCertificateError(reason) from problem
        self._reloading = (client, server)
        self.authorize = authorizer(local_identity)
        self.client = client.context
        self.server = server.context

    def start(self, metrics: ProcessMetrics) -> None:
        """Check the TLS files for changes every 5 s; export the certificate's time left.

        Without TLS files nothing is checked or exported.
        """
        if not self._reloading:
            return
        metrics.gauge(
            "certificate_seconds_left",
            "Seconds until the certificate in use ends.",
            lambda: self._reloading[0].expires_unix_seconds - time.time(),
        )
        self._schedule(metrics.notice)

    def close(self) -> None:
        """Stop checking the TLS files for changes."""
        if self._timer is not None:
            self._timer.cancel()

    def _schedule(self, notice_sink: NoticeSink) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(RELOAD_SECONDS, self._reload, notice_sink)

    def _reload(self, notice_sink: NoticeSink) -> None:
        for context in self._reloading:
            change = context.reload_if_changed()
            if change.failure:
                notice_sink(CertificateReloadFailed(change.failure))
            elif change.reloaded:
                notice_sink(CertificateReloaded())
        self._schedule(notice_sink)


def _read_local_identity(paths: TlsPaths, role: str) -> PeerIdentity:
    """Return the identity in the process's certificate, which must have the given role."""
    # Imported only if TLS is used: the import takes a third of a process's start-up time.
    from peppershore.connection.certificates import read_issued  # noqa: PLC0415

    issued = read_issued(Path(paths.certificate))
    if isinstance(issued, Failure):
        raise UnusableCertificateError(issued.failure().reason)
    identity = parse_identity(issued.unwrap().identity)
    if isinstance(identity, Failure):
        reason = f"the identity in {paths.certificate} {identity.failure().reason}"
        raise UnusableCertificateError(reason)
    local_identity = identity.unwrap()
    if local_identity.role != role:
        reason = (
            f"{paths.certificate} is the certificate of a {local_identity.role}, "
            f"not a {role}"
        )
        raise UnusableCertificateError(reason)
    return local_identity
