"""Starts one jasminerelay instance on the platform from a checkout."""

import pathlib
import sys

_ROOT = pathlib.Path(__file__).parent.parent
sys.path[:0] = [str(_ROOT / "src"), str(_ROOT / "target" / "deps")]

from jasminerelay.platform.start import main  # noqa: E402

sys.exit(main())
