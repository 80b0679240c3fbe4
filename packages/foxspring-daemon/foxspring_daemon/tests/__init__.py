"""Tests of foxspring-daemon."""
