"""The worker process, which runs the fleet's tasks; each task has one leader at a time."""
