"""The radishstack daemon: entry and target roles, on anyio."""
