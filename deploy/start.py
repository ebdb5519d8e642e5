"""Start a node process from this checkout, with its libraries added to the path."""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(path) for path in sorted(ROOT.glob("libs/*/src"))]
sys.path.insert(0, str(ROOT / "platform" / "src"))

from cherryrudder.node.main import main  # noqa: E402

sys.exit(main())
