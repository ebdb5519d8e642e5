"""Pipelines over several endpoints: layer plans, token steps, resume, hand-over."""
