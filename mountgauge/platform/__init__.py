"""The platform's own services as a sender uses them: discovery's list of next hops."""
