"""Measurements of single properties, on real processes or on policy functions."""
