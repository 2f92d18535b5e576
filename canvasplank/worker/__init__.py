"""The worker process: tasks that one leader at a time runs for the fleet."""
