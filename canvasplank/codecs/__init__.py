"""The wire formats: incremental parsers and writers that do no input or output of their own."""
