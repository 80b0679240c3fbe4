"""Tests of foxspring-control."""
