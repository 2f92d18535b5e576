"""Seeded soak test: disturbs a deployment of processes on loopback at random and checks it from outside."""
