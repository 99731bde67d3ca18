"""Stand-in callers: open-loop load with a journal of every outcome."""
