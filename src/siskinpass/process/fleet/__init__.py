"""Entry instance that runs on the platform adapter."""
