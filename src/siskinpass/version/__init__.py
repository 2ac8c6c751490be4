"""Hold what lives for one version of the settings tree."""
