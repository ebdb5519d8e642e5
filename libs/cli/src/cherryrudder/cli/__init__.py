"""cherryrudder, the operators' command-line tool."""
