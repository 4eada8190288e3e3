"""Audit: queries of recorded events and verification of hash chains."""
