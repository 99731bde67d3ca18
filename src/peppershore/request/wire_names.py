"""The header fields that a data plane reads and writes, as a typed profile.

The defaults are the product's own interface.  A deployment with names of its own
gives others in the node's settings; an empty name means that the field is not used.
"""

from __future__ import annotations

import msgspec


class WireNames(msgspec.Struct, frozen=True, kw_only=True):
    """Names in lower case.

    ``request_id`` names one call of a caller; where ``answers_carry_id``, a back
    end's answer repeats it, and an answer with another one belongs to another call.
    ``signature`` stands on every success of a back end.  ``expected_instance``
    says which back end a call is meant for.  ``not_run`` stands on a back end's
    refusals of what it has not begun; ``load`` tells its running and waiting calls
    and its slots; ``caller`` names the service that a call comes from, ``tenant`` on
    whose behalf it is made.  With ``unframed_answers`` an answer without length, which
    ends with its connection, counts as whole.
    """

    request_id: bytes = b"x-request-id"
    deadline: bytes = b"peppershore-deadline-milliseconds"
    outcome: bytes = b"peppershore-outcome"
    reason: bytes = b"peppershore-reason"
    retry_after: bytes = b"retry-after"
    signature: bytes = b""
    expected_instance: bytes = b""
    not_run: bytes = b""
    load: bytes = b""
    caller: bytes = b""
    tenant: bytes = b""
    answers_carry_id: bool = False
    fractional_retry_after: bool = False
    unframed_answers: bool = False

    @property
    def own_fields(self) -> frozenset[bytes]:
        """Fields of answers that only a node sets, whatever a back end sends."""
        return frozenset({self.outcome, self.reason, self.request_id} - {b""})


OWN_NAMES = WireNames()
"""The product's own interface."""


def retry_after_value(names: WireNames, milliseconds: int) -> bytes:
    """Give the value of the field that says when to come back, in seconds."""
    if names.fractional_retry_after:
        return b"%.3f" % (milliseconds / 1_000)
    return b"%d" % -(-milliseconds // 1_000)
