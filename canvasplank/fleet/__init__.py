"""Fleet-wide budgets, membership and task leadership through a database that all proxies share.

In this package, "the store" means that database, not the store of record in ``canvasplank.store``.  The
subsystem is off by default.
"""
