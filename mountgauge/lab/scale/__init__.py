"""Scale runs: simulates fleets of several sizes, fits growth laws to costs, renders the capacity page."""
