"""Heads of HTTP/1.1 messages: typed values, strict checks, hop-by-hop headers.

h11 is lenient about forms for which two parsers may disagree on where a message ends
(bare LF, folded lines, repeated Content-Length), which allows request smuggling.
``check_request_head`` therefore checks the raw bytes first and rejects those forms.
"""

from __future__ import annotations

import re

import h11
import msgspec
from h11._headers import Headers
from returns.result import Failure, Result, Success

HeaderList = list[tuple[bytes, bytes]]
"""Header fields as pairs of lower-case name and value, in their original order."""

MAX_HEAD_BYTES = 32 * 1024
"""Longest head of an answer, and of a request while no other bound is configured."""

MAX_REQUEST_LINE_BYTES = 8 * 1024
"""What the request line may add to the configured bound on the header of a request."""

HEAD_END = b"\r\n\r\n"
LINE_END = b"\r\n"

STATUS_BAD_REQUEST = 400
STATUS_HEAD_TOO_LARGE = 431
STATUS_NOT_IMPLEMENTED = 501

_FOLDED_LINE = re.compile(rb"\r\n[ \t]")
FRAMING_FIELD = re.compile(
    rb"\n(content-length|transfer-encoding):([^\r\n]*)", re.IGNORECASE
)
"""A field that says where the message ends, as its name and value."""

_SPACE_BEFORE_COLON = re.compile(rb"\r\n[^\r:]*[ \t]+:")
_LINE_BREAK = re.compile(rb"[\r\n]")
_NOT_IN_NAME = re.compile(rb"[^\0!#$%&'*+.^_`|~0-9a-z-]")
_DECIMAL = re.compile(rb"[0-9]{1,18}")

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    }
)


class HeadProblem(msgspec.Struct, frozen=True):
    """Why a request head is rejected: the HTTP status to answer and a stable reason."""

    status: int
    reason: str


class RequestHead(msgspec.Struct, frozen=True):
    """Head of a request.

    ``content_length`` is None for a chunked body and 0 without a body;
    ``declares_length`` distinguishes a body declared empty from no body.
    ``headers`` holds end-to-end fields only, without Content-Length.
    """

    method: bytes
    target: bytes
    headers: HeaderList
    content_length: int | None
    declares_length: bool = False
    peer_address: str = ""
    expects_continue: bool = False

    def header(self, name: bytes) -> bytes:
        """Return the first value of a field (lower-case name), or b""."""
        return first_value(self.headers, name)


class AnswerHead(msgspec.Struct, frozen=True):
    """Head of an answer; ``content_length`` is None for a chunked body.

    For answers without a body (HEAD, 204, 304) ``has_body`` is false and
    ``content_length`` is the length that the back end declared, if any.
    ``has_failed_call``: a call that the back end made for this request failed, after all
    the attempts that are useful.
    """

    status: int
    reason: bytes
    headers: HeaderList
    content_length: int | None
    has_body: bool = True
    has_failed_call: bool = False


def received_headers(headers: Headers) -> HeaderList:
    """Return the header fields of a parsed h11 event, with names in lower case."""
    if not headers:
        return []
    return [(name.lower(), value) for name, value in headers.raw_items()]


def checked_headers(fields: HeaderList) -> Headers:
    """Wrap header fields so that h11 does not validate them again.

    All fields that are sent are constants or were parsed by h11, here or in another
    node. Matching each against the patterns of h11 again took a sixth of the processor
    time of a call. Fields received on links are checked by ``fields_unsafe``.
    """
    return Headers([(name, name, value) for name, value in fields])


def fields_unsafe(fields: HeaderList) -> bool:
    """Report whether a name or value would break out of its line or field if written."""
    names = b"\0".join(name for name, _ in fields)
    values = b"\0".join(value for _, value in fields)
    if _LINE_BREAK.search(values) or b"" in [name for name, _ in fields]:
        return True
    return _NOT_IN_NAME.search(names) is not None


_END = h11.EndOfMessage()


def end_event(trailers: HeaderList) -> h11.EndOfMessage:
    """Return the h11 event for the end of a body, a shared one if there are no trailers."""
    return h11.EndOfMessage(headers=trailers) if trailers else _END


def answer_event(head: AnswerHead, headers: HeaderList) -> h11.Response:
    """Return the h11 event for an answer's head with the given header fields."""
    return h11.Response(
        status_code=head.status, headers=checked_headers(headers), reason=head.reason
    )


def first_value(headers: HeaderList, name: bytes) -> bytes:
    """Return the first value of a field (lower-case name), or b""."""
    for candidate, value in headers:
        if candidate == name:
            return value
    return b""


def check_request_head(
    received: bytes, max_bytes: int = MAX_HEAD_BYTES
) -> Result[bool, HeadProblem]:
    """Check the raw bytes of a request head of at most ``max_bytes``, as far as received.

    Return Success(False) for a head that is incomplete so far, and Success(True) for a
    complete head whose message boundaries all parsers read in the same way.
    """
    end = received.find(HEAD_END)
    head = received if end < 0 else received[: end + len(HEAD_END)]
    if len(head) > max_bytes:
        return Failure(HeadProblem(STATUS_HEAD_TOO_LARGE, "head-too-large"))
    if end < 0:
        return _check_partial(head)
    return _check_complete(head)


def end_to_end_headers(headers: HeaderList) -> HeaderList:
    """Return the fields without hop-by-hop fields and Content-Length."""
    listed = _connection_options(headers)
    return [
        field
        for field in headers
        if field[0] not in HOP_BY_HOP
        and field[0] != b"content-length"
        and field[0] not in listed
    ]


def _check_partial(head: bytes) -> Result[bool, HeadProblem]:
    if head.count(b"\n") != head.count(LINE_END):
        return Failure(HeadProblem(STATUS_BAD_REQUEST, "bare-line-feed"))
    return Success(False)


def _check_complete(head: bytes) -> Result[bool, HeadProblem]:
    line_ends = head.count(LINE_END)
    if head.count(b"\n") != line_ends:
        return Failure(HeadProblem(STATUS_BAD_REQUEST, "bare-line-feed"))
    if head.count(b"\r") != line_ends:
        return Failure(HeadProblem(STATUS_BAD_REQUEST, "bare-carriage-return"))
    if b"\x00" in head:
        return Failure(HeadProblem(STATUS_BAD_REQUEST, "null-byte"))
    if _FOLDED_LINE.search(head):
        return Failure(HeadProblem(STATUS_BAD_REQUEST, "folded-line"))
    if _SPACE_BEFORE_COLON.search(head):
        return Failure(HeadProblem(STATUS_BAD_REQUEST, "space-before-colon"))
    return _check_framing(FRAMING_FIELD.findall(head))


def _check_framing(fields: list[tuple[bytes, bytes]]) -> Result[bool, HeadProblem]:
    if not fields:
        return Success(True)
    if len(fields) > 1:
        return Failure(HeadProblem(STATUS_BAD_REQUEST, "ambiguous-length"))
    name, value = fields[0]
    if name.lower() == b"content-length":
        if _DECIMAL.fullmatch(value.strip(b" \t")) is None:
            return Failure(HeadProblem(STATUS_BAD_REQUEST, "bad-content-length"))
        return Success(True)
    if value.strip(b" \t").lower() != b"chunked":
        return Failure(HeadProblem(STATUS_NOT_IMPLEMENTED, "unknown-transfer-encoding"))
    return Success(True)


def _connection_options(headers: HeaderList) -> frozenset[bytes]:
    value = first_value(headers, b"connection")
    if not value or value in {b"close", b"keep-alive"}:
        return frozenset()
    options: list[bytes] = []
    for name, listed in headers:
        if name == b"connection":
            options.extend(option.strip().lower() for option in listed.split(b","))
    return frozenset(options)
