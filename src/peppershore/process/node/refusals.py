"""Reasons a node gives in ``UpdateRefused``; stable words that relays act on."""

from __future__ import annotations

NOT_NEWER = "not-newer"
"""Never sent: the node answers with what it holds instead."""
BELOW_FLOOR = "below-floor"
UNCONFIRMED = "unconfirmed"
"""The node holds nothing and wants a version confirmed after its hello."""
BUSY = "busy"
"""Another version, from another relay, is being stored."""
