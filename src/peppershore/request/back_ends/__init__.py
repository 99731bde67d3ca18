"""What is known of back ends: their reported load, their pace, their links."""
