"""How much of one message is handled in one turn of the loop."""

from __future__ import annotations

MAX_EVENTS_PER_TURN = 256
"""Parts of one message handled before other connections get their turn.

A message in chunks of one byte would hold up all of them for as long as it is parsed.
"""
