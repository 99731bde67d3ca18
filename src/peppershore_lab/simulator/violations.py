"""The error that stops a simulated run: a promise does not hold."""

from __future__ import annotations


class PromiseBrokenError(AssertionError):
    """``promise`` names what does not hold, the text says how it was seen."""

    def __init__(self, promise: str, detail: str) -> None:
        """Keep both."""
        super().__init__(f"{promise}: {detail}")
        self.promise = promise
        self.detail = detail


def require(condition: bool, promise: str, detail: str) -> None:
    """Stop the run if a promise does not hold."""
    if not condition:
        raise PromiseBrokenError(promise, detail)
