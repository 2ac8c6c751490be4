"""The daemon of one entry instance: coordination, request handling and I/O."""
