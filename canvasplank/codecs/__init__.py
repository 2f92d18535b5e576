"""The wire formats: incremental parsers and encoders without I/O."""
