"""Learning from a running instance: a view of the call servers, handed over and weighed by its age."""
