"""Optional features, each enabled by its own settings file."""
