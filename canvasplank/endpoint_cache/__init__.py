"""The list of call servers over time: kept on disk, and judged by its age when nobody else can tell it."""
