"""The wire formats: incremental parsers and writers that do no I/O of their own."""
