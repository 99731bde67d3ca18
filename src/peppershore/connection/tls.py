"""Mutual TLS between the system's processes, from PEM files.

Both sides show a certificate of the site's authority.  Addresses are plain IP
numbers, so that a peer is known by the common name of its certificate and not
by a host name.  Files that changed on disk are read again without a restart:
a context takes the new certificate for the links made after that.
"""

from __future__ import annotations

import os
import ssl

import msgspec


class TlsPaths(msgspec.Struct, frozen=True):
    """The PEM files of one process."""

    certificate: str
    key: str
    authority: str


class FileStamp(msgspec.Struct, frozen=True):
    """What tells one content of a file from the next: time, size and inode."""

    modified_nanoseconds: int
    size: int
    inode: int


class ReloadingContext:
    """An ``ssl.SSLContext`` that follows its files.

    ``reload_if_changed`` reads changed files; a pair that does not fit (a
    certificate written before its key) keeps the old one until the next call.
    """

    def __init__(self, paths: TlsPaths, side: ssl._SSLMethod) -> None:
        """Read the files; raises OSError or ssl.SSLError when they are unusable."""
        self.context = ssl.SSLContext(side)
        self.context.minimum_version = ssl.TLSVersion.TLSv1_3
        self.context.check_hostname = False
        self.context.verify_mode = ssl.CERT_REQUIRED
        self._paths = paths
        self._stamps = _stamps(paths)
        self._load(self.context)

    def reload_if_changed(self) -> str:
        """Read changed files; give the reason if they could not be used, else ""."""
        try:
            stamps = _stamps(self._paths)
            if stamps == self._stamps:
                return ""
            self._load(ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT))
            self._load(self.context)
        except (OSError, ssl.SSLError) as problem:
            return f"certificate files not taken: {type(problem).__name__}"
        self._stamps = stamps
        return ""

    def _load(self, context: ssl.SSLContext) -> None:
        context.load_cert_chain(self._paths.certificate, self._paths.key)
        context.load_verify_locations(self._paths.authority)


def client_context(paths: TlsPaths) -> ReloadingContext:
    """Give the context for links this process opens."""
    return ReloadingContext(paths, ssl.PROTOCOL_TLS_CLIENT)


def server_context(paths: TlsPaths) -> ReloadingContext:
    """Give the context for links this process accepts."""
    return ReloadingContext(paths, ssl.PROTOCOL_TLS_SERVER)


def _stamps(paths: TlsPaths) -> tuple[FileStamp, ...]:
    return tuple(_stamp(path) for path in (paths.certificate, paths.key, paths.authority))


def _stamp(path: str) -> FileStamp:
    facts = os.stat(path)
    return FileStamp(facts.st_mtime_ns, facts.st_size, facts.st_ino)
