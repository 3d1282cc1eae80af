"""Laboratory for relay fleets: real relays, hollow relays, and stand-ins for everything they talk to."""
