"""What lives for a process: cores and shells of each role, settings, logs."""
