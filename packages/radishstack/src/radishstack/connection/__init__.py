"""State and types that belong to one connection between two processes."""
