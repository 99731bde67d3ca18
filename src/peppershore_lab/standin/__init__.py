"""Stand-in back ends: processes that behave as a user's services do."""
