"""The operators' command line of radishstack."""
