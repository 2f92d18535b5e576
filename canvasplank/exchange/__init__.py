"""Where callers, call servers and the decision module meet."""
