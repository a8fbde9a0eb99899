"""Tests of gateways and sidecars, with stand-ins of the platform."""
