"""Reasons that a node sends in ``UpdateRefused``; relays depend on these strings."""

from __future__ import annotations

NOT_NEWER = "not-newer"
"""Never sent: the node replies with the version that it has instead."""
BELOW_FLOOR = "below-floor"
UNCONFIRMED = "unconfirmed"
"""The node has no configuration and requires a version confirmed after its hello."""
BUSY = "busy"
"""The node is storing another version, received from another relay."""
