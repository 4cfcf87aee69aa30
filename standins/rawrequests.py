"""Requests as a stand-in receives them, before any application sees them.

The parser is uvicorn's own, not that of the instances under test.
"""

from jasminerelay.uvicornserver import HttpToolsProtocol

TARGET = "standin.target"
"""Key in the scope of a request for its target, byte by byte."""

FIELDS = "standin.fields"
"""Key in the scope for the fields of its head, in order; no trailer fields."""


class RecordingProtocol(HttpToolsProtocol):
    """Notes the target and the fields of each head."""

    def on_message_begin(self) -> None:
        """Begins a head."""
        super().on_message_begin()
        self.scope[FIELDS] = []
        self._in_head = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Notes a field of a head."""
        if self._in_head:
            self.scope[FIELDS].append((name, value))
        super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Ends a head."""
        self._in_head = False
        self.scope[TARGET] = self.url
        super().on_headers_complete()
