"""Replicated state and scheduling."""
