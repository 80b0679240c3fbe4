"""The two binaries of foxspring."""
