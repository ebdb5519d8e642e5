"""Routes, client accounts, endpoints and attempts; decisions without I/O."""
