"""Tests of the control leader's service."""
