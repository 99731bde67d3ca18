"""The fault soak: real processes under load and faults, judged by what was seen."""
