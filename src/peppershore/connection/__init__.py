"""Connections: framing and links between processes, HTTP, TLS and certificates."""
