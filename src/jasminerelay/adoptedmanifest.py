"""The manifest version in force on an instance; it never decreases."""

import dataclasses

from jasminerelay import manifest
from jasminerelay.errors import InvariantError
from jasminerelay.schema.messages import ManifestPointer

INITIAL_VERSION = 0


@dataclasses.dataclass(frozen=True)
class ManifestVersion:
    """An accepted manifest.

    Attributes:
        version: Version of the manifest row; rises with each accepted
            manifest.
        digest: SHA-256 of the text.
        body: Text of the manifest.
        directory: Indexed content.
    """

    version: int
    digest: str
    body: str
    directory: manifest.Directory

    @property
    def pointer(self) -> ManifestPointer:
        """Version and digest, as sent in messages."""
        return ManifestPointer(self.version, self.digest)


class AdoptedManifest:
    """The manifest in force on one instance."""

    def __init__(self) -> None:
        self.current: ManifestVersion | None = None

    @property
    def pointer(self) -> ManifestPointer:
        """Version and digest of the manifest in force; version 0 if none."""
        if self.current is None:
            return ManifestPointer(INITIAL_VERSION, "")
        return self.current.pointer

    def is_newer(self, pointer: ManifestPointer) -> bool:
        """Returns whether a pointer refers to a newer manifest."""
        return pointer.version > self.pointer.version

    def adopt(self, pointer: ManifestPointer, body: str) -> bool:
        """Adopts a manifest if it is newer and its text matches the digest.

        Raises:
            InvariantError: if one version has two digests.
        """
        self.check_digest(pointer)
        if not self.is_newer(pointer):
            return False
        read = read_version(pointer, body)
        return read is not None and self.adopt_parsed(read)

    def check_digest(self, pointer: ManifestPointer) -> None:
        """Checks a pointer against the digest of the manifest in force.

        Raises:
            InvariantError: if one version has two digests.
        """
        held = self.pointer
        if pointer.version == held.version and pointer.digest != held.digest:
            raise InvariantError(
                f"manifest version {pointer.version} has two digests:"
                f" {held.digest} and {pointer.digest}"
            )

    def adopt_parsed(self, accepted: ManifestVersion) -> bool:
        """Adopts a parsed manifest if it is newer; returns whether it did."""
        if not self.is_newer(accepted.pointer):
            return False
        self.current = accepted
        return True


def read_version(pointer: ManifestPointer, body: str) -> ManifestVersion | None:
    """Parses a manifest; None if it is invalid or does not match the digest.

    A peer or the store may return a truncated text, which the digest detects,
    or an old version, which adopt_parsed() rejects. Parsing a large manifest
    takes a while; this function is safe to run in a thread.
    """
    if manifest.digest_of(body) != pointer.digest:
        return None
    parsed = manifest.parse(body, f"manifest {pointer.version}")
    if parsed.is_err():
        return None
    return ManifestVersion(
        pointer.version, pointer.digest, body, parsed.unwrap()
    )
