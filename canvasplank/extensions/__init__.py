"""Optional features, each switched on by a file of its own."""
