"""A sender's client of the platform's discovery service, which provides the list of next hops."""
