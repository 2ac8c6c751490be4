"""Translate the platform's names, formats and calls.

Nothing outside this package knows them, and nothing in it decides.
"""
