"""Run the command-line tool by `python -m cherryrudder.cli`."""

import sys

from .main import main

if __name__ == "__main__":
    sys.exit(main())
