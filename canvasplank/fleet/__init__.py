"""Fleet-wide budgets, membership and task leadership through a database that all proxies share.

The subsystem is off by default.
"""
