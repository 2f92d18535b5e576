"""Fleet-wide budgets, membership and ownership, over a store that all proxies reach (off by default)."""
