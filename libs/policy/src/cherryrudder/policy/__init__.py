"""Load decisions (admission, placement, limits, retries) without I/O or a clock."""
