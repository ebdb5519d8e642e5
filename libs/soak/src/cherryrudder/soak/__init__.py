"""Random faults against the real processes, and a check of what is promised."""
