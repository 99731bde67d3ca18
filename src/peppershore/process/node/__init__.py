"""The node: holds one snapshot and the live endpoints beside a back end."""
