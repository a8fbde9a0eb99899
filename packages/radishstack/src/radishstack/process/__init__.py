"""State that lives as long as one process."""
