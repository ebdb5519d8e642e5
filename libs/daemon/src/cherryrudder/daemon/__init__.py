"""cherryrudderd, the router daemon in its three roles."""
