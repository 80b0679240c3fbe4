"""Configuration as values, and its INI text; settings of the daemon."""
