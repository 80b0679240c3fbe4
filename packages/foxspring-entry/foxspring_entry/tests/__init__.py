"""Tests of foxspring-entry."""
