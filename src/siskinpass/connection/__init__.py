"""Protocols and helpers of caller and backend server connections."""
