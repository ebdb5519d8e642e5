"""Placement of layers on engines, and the chains of engines that requests take."""
