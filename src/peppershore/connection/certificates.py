"""Certificate authority of a small site: creates and renews process certificates.

One folder holds ``authority.crt`` (all trusted authorities, newest first),
``authority.key`` (to be kept off the machines that run processes) and a ``NAME.pem`` for
each process with both its key and its certificate, so that a renewal replaces the two
atomically. Every file is replaced atomically and synced to disk.
"""

from __future__ import annotations

import os
from datetime import UTC, datetime, timedelta
from pathlib import Path

import msgspec
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import ExtendedKeyUsageOID, NameOID
from returns.result import Failure, Result, Success

from peppershore.connection.identity import (
    PeerIdentity,
    format_identity,
    parse_identity,
)

AUTHORITY_CERTIFICATE = "authority.crt"
AUTHORITY_KEY = "authority.key"
PROCESS_SUFFIX = ".pem"
AUTHORITY_DAYS = 3_650
CLOCK_TOLERANCE = timedelta(minutes=5)
PRIVATE_MODE = 0o600
PUBLIC_MODE = 0o644


class KeyProblem(msgspec.Struct, frozen=True):
    """Why keys could not be created or read; names files, never their content."""

    reason: str


class Authority(msgspec.Struct, frozen=True):
    """Certificate and private key of the newest authority of a folder."""

    certificate: x509.Certificate
    key: ec.EllipticCurvePrivateKey

    def __repr__(self) -> str:
        """Return a text without the private key, for logs and tracebacks."""
        return "Authority(<hidden>)"


class IssuedCertificate(msgspec.Struct, frozen=True):
    """Name, identity and expiry of a process certificate."""

    name: str
    identity: str
    expires: datetime


def make_authority(folder: Path) -> Result[Authority, KeyProblem]:
    """Create a new authority; earlier ones stay trusted until ``retire_authorities``."""
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "peppershore authority")])
    now = datetime.now(UTC)
    usage = x509.KeyUsage(
        digital_signature=False,
        content_commitment=False,
        key_encipherment=False,
        data_encipherment=False,
        key_agreement=False,
        key_cert_sign=True,
        crl_sign=True,
        encipher_only=False,
        decipher_only=False,
    )
    certificate = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(subject)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - CLOCK_TOLERANCE)
        .not_valid_after(now + timedelta(days=AUTHORITY_DAYS))
        .add_extension(x509.BasicConstraints(ca=True, path_length=0), critical=True)
        .add_extension(usage, critical=True)
        .add_extension(x509.SubjectKeyIdentifier.from_public_key(key.public_key()), False)
        .sign(key, hashes.SHA256())
    )
    try:
        trusted = _read_if_exists(folder / AUTHORITY_CERTIFICATE)
        bundle = _certificate_pem(certificate) + trusted
        folder.mkdir(parents=True, exist_ok=True)
        _replace_file(folder / AUTHORITY_KEY, _key_pem(key), PRIVATE_MODE)
        _replace_file(folder / AUTHORITY_CERTIFICATE, bundle, PUBLIC_MODE)
    except OSError as problem:
        return Failure(_file_problem(folder, problem))
    return Success(Authority(certificate, key))


def retire_authorities(folder: Path) -> Result[int, KeyProblem]:
    """Trust only the newest authority; return the number of authorities removed."""
    path = folder / AUTHORITY_CERTIFICATE
    try:
        trusted = x509.load_pem_x509_certificates(path.read_bytes())
        _replace_file(path, _certificate_pem(trusted[0]), PUBLIC_MODE)
    except OSError as problem:
        return Failure(_file_problem(path, problem))
    except ValueError:
        return Failure(KeyProblem(f"{path} holds no certificate"))
    return Success(len(trusted) - 1)


def load_authority(folder: Path) -> Result[Authority, KeyProblem]:
    """Read the newest authority and its key."""
    path = folder / AUTHORITY_KEY
    try:
        key = serialization.load_pem_private_key(path.read_bytes(), password=None)
        path = folder / AUTHORITY_CERTIFICATE
        certificate = x509.load_pem_x509_certificates(path.read_bytes())[0]
    except OSError as problem:
        return Failure(_file_problem(path, problem))
    except (ValueError, TypeError):
        return Failure(KeyProblem(f"{path} holds no usable PEM"))
    if not isinstance(key, ec.EllipticCurvePrivateKey):
        return Failure(KeyProblem(f"{path} holds no elliptic-curve key"))
    if certificate.public_key() != key.public_key():
        return Failure(KeyProblem(f"{path} does not belong to {AUTHORITY_KEY}"))
    return Success(Authority(certificate, key))


def issue(
    folder: Path, authority: Authority, identity: PeerIdentity, days: int
) -> Result[Path, KeyProblem]:
    """Create a key and certificate for one process, replacing its file atomically."""
    key = ec.generate_private_key(ec.SECP256R1())
    now = datetime.now(UTC)
    name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, identity.name[:64])])
    uri = x509.UniformResourceIdentifier(format_identity(identity))
    usages = [ExtendedKeyUsageOID.CLIENT_AUTH, ExtendedKeyUsageOID.SERVER_AUTH]
    signer = authority.key.public_key()
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(authority.certificate.subject)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - CLOCK_TOLERANCE)
        .not_valid_after(now + timedelta(days=days))
        .add_extension(x509.BasicConstraints(ca=False, path_length=None), critical=True)
        .add_extension(x509.SubjectAlternativeName([uri]), critical=False)
        .add_extension(x509.ExtendedKeyUsage(usages), critical=False)
        .add_extension(x509.AuthorityKeyIdentifier.from_issuer_public_key(signer), False)
        .sign(authority.key, hashes.SHA256())
    )
    path = folder / (identity.name + PROCESS_SUFFIX)
    try:
        _replace_file(path, _key_pem(key) + _certificate_pem(certificate), PRIVATE_MODE)
    except OSError as problem:
        return Failure(_file_problem(path, problem))
    return Success(path)


def read_issued(path: Path) -> Result[IssuedCertificate, KeyProblem]:
    """Read the identity and expiry of the certificate in a process file."""
    try:
        certificate = x509.load_pem_x509_certificate(path.read_bytes())
        names = certificate.extensions.get_extension_for_class(x509.SubjectAlternativeName)
    except OSError as problem:
        return Failure(_file_problem(path, problem))
    except (ValueError, x509.ExtensionNotFound):
        return Failure(KeyProblem(f"{path} holds no certificate of this system"))
    uris = names.value.get_values_for_type(x509.UniformResourceIdentifier)
    identity = uris[0] if uris else ""
    return Success(IssuedCertificate(path.stem, identity, certificate.not_valid_after_utc))


def reissue(
    folder: Path, authority: Authority, name: str, days: int
) -> Result[Path, KeyProblem]:
    """Renew the key and certificate of one process, with the same identity."""
    issued = read_issued(folder / (name + PROCESS_SUFFIX))
    if isinstance(issued, Failure):
        return Failure(issued.failure())
    identity = parse_identity(issued.unwrap().identity)
    if isinstance(identity, Failure):
        reason = f"the identity in {name}{PROCESS_SUFFIX} {identity.failure().reason}"
        return Failure(KeyProblem(reason))
    return issue(folder, authority, identity.unwrap(), days)


def list_issued(folder: Path) -> tuple[IssuedCertificate, ...]:
    """List the readable process certificates of a folder, by name."""
    found = (read_issued(path) for path in sorted(folder.glob("*" + PROCESS_SUFFIX)))
    return tuple(item.unwrap() for item in found if isinstance(item, Success))


def _key_pem(key: ec.EllipticCurvePrivateKey) -> bytes:
    return key.private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )


def _certificate_pem(certificate: x509.Certificate) -> bytes:
    return certificate.public_bytes(serialization.Encoding.PEM)


def _read_if_exists(path: Path) -> bytes:
    return path.read_bytes() if path.exists() else b""


def _replace_file(path: Path, content: bytes, mode: int) -> None:
    """Replace a file atomically: write and sync a temporary file, then rename it."""
    temporary = path.with_name(f".{path.name}.new")
    descriptor = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, mode)
    try:
        os.fchmod(descriptor, mode)
        os.write(descriptor, content)
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
    temporary.replace(path)
    folder = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


def _file_problem(path: Path, problem: OSError) -> KeyProblem:
    return KeyProblem(f"{path}: {problem.strerror or type(problem).__name__}")
