"""What lives for one connection: framing, links between processes, HTTP."""
