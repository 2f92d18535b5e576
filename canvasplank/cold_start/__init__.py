"""Starting by the hundred without a rush (off unless switched on)."""
