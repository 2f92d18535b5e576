"""A seeded soak: a deployment of processes on loopback, disturbed at random and checked from outside."""
