"""The claims group: a replicated record that lets a call run at most once."""
