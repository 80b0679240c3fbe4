"""Tests of the leader's duties."""
