"""Network connections to other processes and to targets."""
