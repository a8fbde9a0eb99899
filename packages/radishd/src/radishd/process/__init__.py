"""Parts of a daemon that last as long as its process."""
