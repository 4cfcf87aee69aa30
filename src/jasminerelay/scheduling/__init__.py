"""Scheduling decisions without input or output."""
