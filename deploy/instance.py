"""Starts one instance on the platform from a checkout."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "src"))

from jasminerelay.platform.root import main  # noqa: E402

sys.exit(main())
