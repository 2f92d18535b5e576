"""Work on behalf of the whole fleet, one owner at a time: the usage ledger, its export, housekeeping."""
