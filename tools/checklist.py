"""What the demos print, line by line."""


class Checklist:
    """What was checked, and whether all of it held."""

    def __init__(self):
        self.failed = 0

    def check(self, text: str, held: bool) -> None:
        """Print one line on what was seen."""
        print(f"  {'ok' if held else 'NOT HELD'}: {text}", flush=True)
        self.failed += not held
