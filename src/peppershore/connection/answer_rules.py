"""Checks that decide whether a back end's answer belongs to the request just sent."""

from __future__ import annotations

import msgspec

from peppershore.connection.http_head import HeaderList, first_value

FIRST_SUCCESS = 200
FIRST_REDIRECT = 300
CONTENT_ENCODING = b"content-encoding"

ANSWER_TO_OTHER_REQUEST = "answer to another request"
MISSING_REQUEST_ID = "answer that names no request"
MISSING_SIGNATURE = "success without signature"
REPEATED_FIELD = "answer that names its request or signature more than once"
UNEXPECTED_ENCODING = "answer with an encoding that was not asked for"


class AnswerRules(msgspec.Struct, frozen=True):
    """Checks of an answer's head; a check whose header name is empty is skipped.

    ``id_name`` is the header in which an answer must repeat ``id_value``.
    ``signature`` is a header that each success must carry; the body of a success must
    then have no content encoding. Unless ``unframed_answers`` is set, an answer must
    declare its length.
    """

    id_name: bytes = b""
    id_value: bytes = b""
    signature: bytes = b""
    unframed_answers: bool = False

    def answers_other_request(self, headers: HeaderList) -> bool:
        """Report whether the answer carries the identifier of another request."""
        if not self.id_name:
            return False
        named = first_value(headers, self.id_name)
        return bool(named) and named != self.id_value

    def repeats_field(self, headers: HeaderList) -> bool:
        """Report whether the answer gives its request or its signature more than once."""
        ids = signatures = 0
        for name, _ in headers:
            ids += name == self.id_name
            signatures += name == self.signature
        return ids > 1 or signatures > 1

    def problem(self, status: int, headers: HeaderList) -> str:
        """Return why an answer is not acceptable as the back end's own, or ""."""
        if self.id_name and not first_value(headers, self.id_name):
            return MISSING_REQUEST_ID
        if not self.signature or not FIRST_SUCCESS <= status < FIRST_REDIRECT:
            return ""
        if not first_value(headers, self.signature):
            return MISSING_SIGNATURE
        return UNEXPECTED_ENCODING if first_value(headers, CONTENT_ENCODING) else ""


NO_RULES = AnswerRules()
