"""Starts one jasminerelay instance on the platform from a checkout."""

import os
import sys

# os.path rather than pathlib, whose import would delay the ports.
_ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path[:0] = [f"{_ROOT}/src", f"{_ROOT}/target/deps"]

from jasminerelay.platform.start import main  # noqa: E402

sys.exit(main())
