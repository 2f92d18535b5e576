"""The databases that the store of record and the coordination of the fleet share."""
