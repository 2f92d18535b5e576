"""What the program runs on: the event loop, the scheduler, a worker thread, signals, logging and shutdown."""
