"""Fleet-wide budgets, membership and task leadership, in a database of all proxies.  Off by default."""
