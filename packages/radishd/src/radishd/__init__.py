"""The radishstack daemon: the process roles, on anyio."""
