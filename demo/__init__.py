"""The demo of the whole system."""
