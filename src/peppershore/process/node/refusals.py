"""Reasons that a node sends in ``UpdateRefused``; relays depend on these strings."""

from __future__ import annotations

NOT_NEWER = "not-newer"
"""The update is not newer than the node's version. This reason is never sent: the node
replies with the version that it has instead."""
BELOW_FLOOR = "below-floor"
UNCONFIRMED = "unconfirmed"
"""Reason of a node without a configuration and a floor (lowest version that it may accept):
it refuses an update whose version no quorum confirmed after the node's hello."""
BUSY = "busy"
"""Reason of a node that is storing another version, received from another relay."""
