"""The runtime of the program: event loop, scheduler, worker thread, signals, logging and shutdown."""
