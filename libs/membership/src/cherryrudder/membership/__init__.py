"""Announcements, endpoint leases and dissemination of revisions."""
