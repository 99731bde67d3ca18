"""Works out the tables and plots of docs/CAPACITY.md from the measured slopes.

Run: ``python -m benchmarks.capacity`` (``make capacity``).
"""
