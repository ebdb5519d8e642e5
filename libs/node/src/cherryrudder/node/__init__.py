"""The entry and control processes that run on the users' platform."""
