"""Settings tree and routing document: parsing, versions and edits."""
