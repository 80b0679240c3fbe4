"""Stand-ins for the platform's clients, operator and workers, for review cases."""
