"""Settings tree and routing configuration: parsing, versions and edits."""
