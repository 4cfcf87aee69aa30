"""The parts of the dispatcher, which `dispatcher` assembles.

They hold state about backend servers and read the clock, but open no sockets
and start no tasks. The rules that they apply are pure and stand in modules of
their own (`placing`, `groups`, `enginemodel`, `scheduling`).
"""
