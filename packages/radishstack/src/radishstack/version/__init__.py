"""State and types that belong to one version of the configuration."""
