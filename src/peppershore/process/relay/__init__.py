"""The relay: follows a control replica and serves the nodes of a zone."""
