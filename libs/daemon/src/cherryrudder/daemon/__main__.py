"""Run the daemon as `python -m cherryrudder.daemon`."""

from .main import main

main()
