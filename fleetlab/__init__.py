"""A laboratory for fleets: one to a few real relays, hollow ones, and stand-ins for all that they talk to."""
