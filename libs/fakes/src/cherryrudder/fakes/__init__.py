"""Stand-in engine, stand-in plain service and load tool."""
