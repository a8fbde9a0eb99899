"""Objects that live for one request."""
