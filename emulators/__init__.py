"""Stand-ins written for this project, on loopback only: call servers, the notice board, callers, a store."""
