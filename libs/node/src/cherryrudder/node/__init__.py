"""The entry and control processes on the users' platform."""
