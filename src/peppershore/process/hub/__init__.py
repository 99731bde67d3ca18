"""A control replica and a relay in one process, for sites of few machines."""
