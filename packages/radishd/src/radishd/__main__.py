"""Runs ``radishd`` as a module: ``python -m radishd``."""

from radishd import cli

cli.main()
