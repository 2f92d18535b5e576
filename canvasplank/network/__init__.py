"""The sockets: callers on one side, call servers on the other, and the notice board."""
