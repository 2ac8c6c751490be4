"""Data types and rules that apply to a single request."""
