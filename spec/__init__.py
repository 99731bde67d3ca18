"""The model-checked specification of the core protocol: ``python -m spec``."""
