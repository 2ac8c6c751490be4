"""Stand in for the systems around the router, one small file each."""
