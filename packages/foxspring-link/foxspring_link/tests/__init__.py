"""Tests of foxspring-link."""
