"""The adapter to the users' platform.

It translates between the platform's words and the package's types, and wires
an instance for it. Decisions, state and recovery are in the package; nothing
outside this folder knows a name of the platform's wire.
"""
