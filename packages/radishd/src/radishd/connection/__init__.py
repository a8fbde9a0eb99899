"""What lives for one connection between two processes."""
