"""Tests of foxspring-testing."""
