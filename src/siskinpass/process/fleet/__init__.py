"""Run one entry instance behind the platform adapter."""
