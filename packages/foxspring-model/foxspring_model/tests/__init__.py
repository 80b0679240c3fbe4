"""Tests of foxspring-model."""
