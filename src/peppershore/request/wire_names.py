"""Names of the header fields that the data plane reads and writes.

The defaults are the product's own interface. A deployment that uses other names sets them
in the node's settings; an empty name means that the field is not used.
"""

from __future__ import annotations

import msgspec


class WireNames(msgspec.Struct, frozen=True, kw_only=True):
    """Header field names, in lower case.

    - ``request_id``: identifies one call of a caller. With ``answers_carry_id``, a back
      end's answer repeats it, and an answer with another id belongs to another call.
    - ``signature``: present on every successful answer of a back end.
    - ``expected_instance``: the back end that a call is meant for.
    - ``not_run``: present on a back end's refusals of calls that it has not begun.
    - ``load``: the running and waiting calls of a back end, and its slots.
    - ``rate_limit``: the calls a second that a back end takes from all nodes together;
      ``leaving``: "1" in the answers of a back end that is leaving.
    - ``caller``: the service that a call comes from; ``tenant``: on whose behalf it is
      made.
    - ``unframed_answers``: an answer without a length, which ends with its connection,
      counts as complete.
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
    rate_limit: bytes = b"peppershore-rate-limit"
    leaving: bytes = b"peppershore-leaving"
    caller: bytes = b""
    tenant: bytes = b""
    answers_carry_id: bool = False
    fractional_retry_after: bool = False
    unframed_answers: bool = False

    @property
    def own_fields(self) -> frozenset[bytes]:
        """Answer fields that only a node sets, whatever a back end sends."""
        return frozenset({self.outcome, self.reason, self.request_id} - {b""})

    @property
    def used_fields(self) -> frozenset[bytes]:
        """All fields that the data plane reads or writes."""
        names = (getattr(self, each) for each in self.__struct_fields__)
        return frozenset(name for name in names if isinstance(name, bytes) and name)


OWN_NAMES = WireNames()
"""The default names, which are the product's own interface."""


def retry_after_value(names: WireNames, milliseconds: int) -> bytes:
    """Return the value of the retry-after field, in seconds."""
    if names.fractional_retry_after:
        return b"%.3f" % (milliseconds / 1_000)
    return b"%d" % -(-milliseconds // 1_000)
