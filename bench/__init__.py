"""Drive real processes: the demo, the experiments and the chaos runs."""
