"""Interface of an attempt that waits at the owner of a back end."""

from __future__ import annotations

from typing import Protocol

from peppershore.request.admission import Dispatch
from peppershore.request.outcome import NotRun


class WaitingAttempt(Protocol):
    """An attempt that waits for link capacity for its body, or for a slot."""

    @property
    def is_client_retry(self) -> bool:
        """Whether the caller retries a call that was refused."""

    def transfer_begun(self) -> None:
        """Continue: link capacity for the body was granted."""

    def admitted(self, dispatch: Dispatch) -> None:
        """Send the call to the back end: a slot was granted."""

    def refused(self, refusal: NotRun) -> None:
        """Fail with this refusal: the wait is over."""
