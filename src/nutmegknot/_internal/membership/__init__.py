"""Leases, ownership, authority and digests."""
