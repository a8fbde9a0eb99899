"""State and decisions that live as long as one request."""
