"""Duties that one instance at a time does for the whole fleet."""
