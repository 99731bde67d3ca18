"""How all processes come to know of requests that end back ends, and do not forget."""
