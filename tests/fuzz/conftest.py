"""The long run of these tests: ``make fuzz``."""

from __future__ import annotations

from hypothesis import settings

settings.register_profile("fuzz", max_examples=5_000, deadline=None)
