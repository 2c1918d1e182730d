"""Adapter to the users' platform.

It translates the platform's names and formats and makes its calls; it takes no decisions.
"""
