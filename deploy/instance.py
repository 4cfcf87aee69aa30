"""Starts one jasminerelay instance on the platform from a checkout."""

import os
import sys

# os.path rather than pathlib, whose import would delay the ports.
_ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, f"{_ROOT}/deploy")

import codebundle  # noqa: E402

sys.path[:1] = [f"{_ROOT}/src", f"{_ROOT}/target/deps"]
_bundle = codebundle.Bundle(_ROOT, f"{_ROOT}/{codebundle.PATH}")
_bundle.install()

from jasminerelay.platform.start import main  # noqa: E402

sys.exit(main(_bundle.close))
