"""Print and count the results of the demos' checks."""


class Checklist:
    """Results of a demo's checks; `failed` is the number that failed."""

    def __init__(self):
        self.failed = 0

    def check(self, text: str, held: bool) -> None:
        """Print one check's result and count it if it failed."""
        print(f"  {'ok' if held else 'NOT HELD'}: {text}", flush=True)
        self.failed += not held
