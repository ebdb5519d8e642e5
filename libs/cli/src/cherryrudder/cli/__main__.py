"""Run the tool as `python -m cherryrudder.cli`."""

import sys

from .main import main

sys.exit(main())
