"""The exchange, which connects callers, call servers and the decision module."""
