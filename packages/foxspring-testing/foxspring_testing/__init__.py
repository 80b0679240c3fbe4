"""Stand-ins, harness, demo and bench."""
