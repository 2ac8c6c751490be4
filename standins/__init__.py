"""Small fakes of the systems around the router."""
