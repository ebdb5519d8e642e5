"""The operators' command-line tool, `cherryrudder`."""
