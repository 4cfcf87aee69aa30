"""Decisions about contended and uneven load.

The modules are pure: they open no sockets, start no tasks and read no clock.
"""
