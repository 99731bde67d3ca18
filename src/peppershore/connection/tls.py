"""Mutual TLS between the system's processes, from PEM files.

Both sides present a certificate issued by the site's authority. Addresses are plain IP
addresses, so a peer is identified by the identity in its certificate and not by a host
name. Files that changed on disk are reloaded without a restart; the new certificate is
used for links opened after that.
"""

from __future__ import annotations

import os
import ssl
from pathlib import Path

import msgspec


class TlsPaths(msgspec.Struct, frozen=True):
    """Paths of the PEM files of one process; certificate and key may be in one file."""

    certificate: str
    key: str
    authority: str


class FileStamp(msgspec.Struct, frozen=True):
    """File attributes by which a changed file is recognized."""

    modified_nanoseconds: int
    size: int
    inode: int


class Reload(msgspec.Struct, frozen=True):
    """Result of checking whether the certificate and key files changed on disk.

    ``reloaded`` is true if changed files were loaded; ``failure`` is the reason why changed
    files can't be used, else "".
    """

    reloaded: bool = False
    failure: str = ""


class ReloadingContext:
    """An ``ssl.SSLContext`` that can be reloaded from its certificate and key files.

    New files are first loaded into a temporary context, so that a key that does not
    match its certificate leaves the context in use unchanged.
    """

    def __init__(self, paths: TlsPaths, protocol: ssl._SSLMethod) -> None:
        """Load the files of ``paths`` into a context for ``protocol`` (client or server).

        Raise OSError, ValueError or ssl.SSLError if the files are unusable.
        """
        self._paths = paths
        self._protocol = protocol
        self._stamps = _stamps(paths)
        self.context = ssl.SSLContext(protocol)
        self.context.minimum_version = ssl.TLSVersion.TLSv1_3
        self.context.check_hostname = False
        self.context.verify_mode = ssl.CERT_REQUIRED
        self._load(self.context)
        self.expires_unix_seconds = _expiry(paths)

    def reload_if_changed(self) -> Reload:
        """Reload the files if they changed; keep the current ones if they are unusable."""
        try:
            stamps = _stamps(self._paths)
            if stamps == self._stamps:
                return Reload()
            self._load(ssl.SSLContext(self._protocol))
            expires = _expiry(self._paths)
            self._load(self.context)
        except (OSError, ValueError) as problem:
            return Reload(failure=f"{type(problem).__name__} in the certificate files")
        self._stamps = stamps
        self.expires_unix_seconds = expires
        return Reload(reloaded=True)

    def _load(self, context: ssl.SSLContext) -> None:
        context.load_cert_chain(self._paths.certificate, self._paths.key)
        context.load_verify_locations(self._paths.authority)


def client_context(paths: TlsPaths) -> ReloadingContext:
    """Create the context for links that this process opens."""
    return ReloadingContext(paths, ssl.PROTOCOL_TLS_CLIENT)


def server_context(paths: TlsPaths) -> ReloadingContext:
    """Create the context for links that this process accepts."""
    return ReloadingContext(paths, ssl.PROTOCOL_TLS_SERVER)


def _expiry(paths: TlsPaths) -> float:
    from cryptography import x509  # noqa: PLC0415 -- costly import, not needed without TLS

    certificate = x509.load_pem_x509_certificate(Path(paths.certificate).read_bytes())
    return certificate.not_valid_after_utc.timestamp()


def _stamps(paths: TlsPaths) -> tuple[FileStamp, ...]:
    return tuple(_stamp(path) for path in (paths.certificate, paths.key, paths.authority))


def _stamp(path: str) -> FileStamp:
    status = os.stat(path)
    return FileStamp(status.st_mtime_ns, status.st_size, status.st_ino)
