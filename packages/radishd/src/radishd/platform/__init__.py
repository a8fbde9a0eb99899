"""Translates between radishstack's types and the platform's wire formats.

It makes no decisions. The platform's wire names appear only in this package.
"""
