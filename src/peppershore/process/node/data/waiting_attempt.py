"""What the back end's own node asks of an attempt that waits there."""

from __future__ import annotations

from typing import Protocol

from peppershore.request.admission import Dispatch
from peppershore.request.outcome import NotRun


class WaitingAttempt(Protocol):
    """An attempt that waits here for room on the link, or for a slot."""

    @property
    def is_client_retry(self) -> bool:
        """Whether the caller was refused before."""

    def transfer_begun(self) -> None:
        """There is room on the link for its body."""

    def admitted(self, dispatch: Dispatch) -> None:
        """A slot is free: go to the back end."""

    def refused(self, refusal: NotRun) -> None:
        """It waits no longer."""
