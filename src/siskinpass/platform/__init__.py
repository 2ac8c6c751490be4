"""Adapter to the platform: decode and encode its names, formats and calls.

Only this package knows the platform's wire names. It contains no routing or
scheduling decisions.
"""
