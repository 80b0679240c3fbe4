"""Request path and target ownership."""
