"""What a back end's answer must show to count as the answer to one request."""

from __future__ import annotations

import msgspec

from peppershore.connection.http_head import HeaderList, first_value

FIRST_SUCCESS = 200
FIRST_REDIRECT = 300
CONTENT_ENCODING = b"content-encoding"

FOREIGN = "answer to another request"
UNNAMED = "answer that names no request"
UNSIGNED = "success without signature"
ENCODED = "answer with an encoding that was not asked for"


class AnswerRules(msgspec.Struct, frozen=True):
    """Checks of an answer's head; empty names check nothing.

    ``id_name`` is the field in which an answer repeats ``id_value``; ``signature``
    must stand on each success, whose body then comes without encoding.  Unless
    ``unframed_answers``, an answer must say how long it is.
    """

    id_name: bytes = b""
    id_value: bytes = b""
    signature: bytes = b""
    unframed_answers: bool = False

    def is_foreign(self, headers: HeaderList) -> bool:
        """Whether the answer names another request than this one."""
        if not self.id_name:
            return False
        named = first_value(headers, self.id_name)
        return bool(named) and named != self.id_value

    def problem(self, status: int, headers: HeaderList) -> str:
        """Say why an answer can't be the back end's own; "" if it can."""
        if self.id_name and not first_value(headers, self.id_name):
            return UNNAMED
        if not self.signature or not FIRST_SUCCESS <= status < FIRST_REDIRECT:
            return ""
        if not first_value(headers, self.signature):
            return UNSIGNED
        return ENCODED if first_value(headers, CONTENT_ENCODING) else ""


NO_RULES = AnswerRules()
