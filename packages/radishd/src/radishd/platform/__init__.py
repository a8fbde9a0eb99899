"""Translates between the product and the platform it runs on; decides nothing.

The names that the platform uses on the wire appear in this folder only.
"""
