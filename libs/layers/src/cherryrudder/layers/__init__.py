"""Which engine holds which layers, and the chains that requests take through them."""
