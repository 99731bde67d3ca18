"""What is known of back ends: their own word, their pace, their links."""
