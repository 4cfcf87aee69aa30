"""Adapter to the users' platform.

Translates between the platform's wire formats and the package's types, and
assembles an instance. Routing decisions, state and recovery are in the rest of
the package; no module outside this folder uses the platform's field names.
"""
