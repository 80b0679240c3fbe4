"""Tests of foxspring-config."""
